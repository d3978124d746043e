#include <iostream>

#include "cassiakeel/node/node.h"
#include "cassiakeel/node/settings.h"
#include "logging.h"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int RunNode(const cassiakeel::node::NodeSettings& settings) {
  cassiakeel::node::SetUpLogging(settings);
  auto node = cassiakeel::node::Node::Create(settings);
  if (!node) {
    std::cerr << "cassiakeeld: " << node.error().ToString() << "\n";
    return kExitFailed;
  }
  (*node)->Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  using cassiakeel::node::SettingsAction;
  const auto parsed = cassiakeel::node::ParseSettings(argc, argv);
  if (!parsed) {
    std::cerr << "cassiakeeld: " << parsed.error().ToString() << "\n";
    return kExitUsage;
  }
  switch (parsed->action) {
    case SettingsAction::kVersion:
      std::cout << "cassiakeeld " << CASSIAKEEL_VERSION << "\n";
      return 0;
    case SettingsAction::kCheck:
      std::cout << "settings are valid\n";
      return 0;
    case SettingsAction::kHelp:
    case SettingsAction::kPrint:
      std::cout << parsed->text;
      return 0;
    case SettingsAction::kRun:
      return RunNode(parsed->settings);
  }
}
