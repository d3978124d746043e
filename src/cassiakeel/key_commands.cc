#include <fcntl.h>
#include <unistd.h>
#include <cerrno>
#include <cstring>

#include <fmt/format.h>

#include "cassiakeel/policy/approval.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

constexpr int kOwnerOnlyMode = 0600;

[[noreturn]] void ThrowWriteError(const std::string& name) {
  throw Exception(
      Error{"write key file", {}, name + ": " + std::strerror(errno)});
}

// Fails if the file exists: overwriting it could destroy a private key, which
// cannot be restored.
void WritePrivateKey(const std::string& name, const std::string& text) {
  const int descriptor = ::open(
      name.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnlyMode);
  if (descriptor < 0) {
    ThrowWriteError(name);
  }
  const auto written = ::write(descriptor, text.data(), text.size());
  const bool synced = ::fsync(descriptor) == 0;
  if (::close(descriptor) != 0 || !synced || written != std::ssize(text)) {
    ThrowWriteError(name);
  }
}

int Generate(const Arguments& arguments, Context& context) {
  const std::string name = arguments.Text("name");
  if (!policy::IsPersonName(name)) {
    throw UsageError(
        fmt::format("--name: invalid value \"{}\"; expected 1 "
                    "to 64 letters, digits or . _ @ -",
                    name));
  }
  const std::string file = arguments.Text("key-file");
  const auto key = policy::PrivateKey::Generate();
  WritePrivateKey(file, key.ToPem());
  const std::string public_hex = key.Public().ToHex();
  if (arguments.Has("json")) {
    context.out << ToJsonLine(
        {{"name", name}, {"public_key", public_hex}, {"key_file", file}});
  } else {
    context.out << "Private key written to " << file
                << ". Pass the public key to the nodes with\n--approver-key "
                << name << "=" << public_hex << '\n';
  }
  return kOk;
}

}  // namespace

std::vector<Command> KeyCommands() {
  return {
      {"key generate",
       "Generate an approver's key pair and print the public key for the nodes",
       {},
       {{"key-file", "FILE", "file to create for the private key"},
        {"name", "NAME", "name of the approver"},
        JsonOption()},
       Generate}};
}

}  // namespace cassiakeel::cli
