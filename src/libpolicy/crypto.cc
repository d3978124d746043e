#include <algorithm>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include "cassiakeel/policy/approval.h"

namespace cassiakeel::policy {
namespace {

constexpr std::size_t kDigestHexLength = 64;
constexpr std::size_t kSignatureBytes = 64;

template <auto Release>
struct Releaser {
  template <typename T>
  void operator()(T* pointer) const {
    Release(pointer);
  }
};
using MdContext = std::unique_ptr<EVP_MD_CTX, Releaser<EVP_MD_CTX_free>>;
using Bio = std::unique_ptr<BIO, Releaser<BIO_free_all>>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Failures of OpenSSL itself, such as exhausted memory or randomness.
void Require(bool ok, const char* call) {
  if (!ok) {
    throw Exception(Error{"use OpenSSL", {}, std::string(call) + " failed"});
  }
}

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  std::string hex;
  for (std::size_t i = 0; i < size; ++i) {
    hex += fmt::format("{:02x}", bytes[i]);
  }
  return hex;
}

bool IsLowerHex(std::string_view text, std::size_t length) {
  return text.size() == length &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

unsigned char HexValue(char c) {
  return static_cast<unsigned char>(c <= '9' ? c - '0' : c - 'a' + 10);
}

// `hex` has two lower-case digits for each byte of `out`.
template <std::size_t N>
void FromHex(std::string_view hex, std::array<unsigned char, N>& out) {
  for (std::size_t i = 0; i < N; ++i) {
    out[i] = static_cast<unsigned char>(HexValue(hex[2 * i]) * 16 +
                                        HexValue(hex[2 * i + 1]));
  }
}

// Keeps OpenSSL from asking for a passphrase on the terminal.
int NoPassphrase(char*, int, int, void*) {
  return -1;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  Require(EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size,
                     EVP_sha256(), nullptr) == 1,
          "EVP_Digest");
  return ToHex(digest.data(), size);
}

bool IsDigest(std::string_view text) {
  return IsLowerHex(text, kDigestHexLength);
}

std::string PublicKey::ToHex() const {
  return policy::ToHex(this->bytes.data(), this->bytes.size());
}

Result<PublicKey> PublicKey::FromHex(std::string_view hex) {
  PublicKey key;
  if (!IsLowerHex(hex, key.bytes.size() * 2)) {
    return Fail("read public key", fmt::format("\"{}\" is not accepted; "
                                               "accepted: 64 lower-case hex "
                                               "digits",
                                               hex));
  }
  policy::FromHex(hex, key.bytes);
  return key;
}

PrivateKey PrivateKey::Generate() {
  std::shared_ptr<evp_pkey_st> key(
      EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), EVP_PKEY_free);
  Require(key != nullptr, "EVP_PKEY_Q_keygen");
  return PrivateKey(std::move(key));
}

Result<PrivateKey> PrivateKey::FromPem(std::string_view pem) {
  const Bio bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  Require(bio != nullptr, "BIO_new_mem_buf");
  std::shared_ptr<evp_pkey_st> key(
      PEM_read_bio_PrivateKey(bio.get(), nullptr, NoPassphrase, nullptr),
      EVP_PKEY_free);
  if (key == nullptr || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_ED25519) {
    return Fail("read private key",
                "not an Ed25519 key in PKCS #8 PEM form without passphrase");
  }
  return PrivateKey(std::move(key));
}

std::string PrivateKey::ToPem() const {
  const Bio bio(BIO_new(BIO_s_secmem()));
  Require(bio != nullptr &&
              PEM_write_bio_PKCS8PrivateKey(bio.get(), this->key.get(), nullptr,
                                            nullptr, 0, nullptr, nullptr) == 1,
          "PEM_write_bio_PKCS8PrivateKey");
  char* data = nullptr;
  const auto size = BIO_get_mem_data(bio.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

PublicKey PrivateKey::Public() const {
  PublicKey result;
  std::size_t size = result.bytes.size();
  Require(EVP_PKEY_get_raw_public_key(this->key.get(), result.bytes.data(),
                                      &size) == 1,
          "EVP_PKEY_get_raw_public_key");
  return result;
}

std::string PrivateKey::Sign(std::string_view message) const {
  const MdContext context(EVP_MD_CTX_new());
  std::array<unsigned char, kSignatureBytes> signature{};
  std::size_t size = signature.size();
  Require(EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                             this->key.get()) == 1 &&
              EVP_DigestSign(context.get(), signature.data(), &size,
                             Bytes(message), message.size()) == 1,
          "EVP_DigestSign");
  return ToHex(signature.data(), size);
}

bool VerifySignature(const PublicKey& key,
                     std::string_view message,
                     std::string_view signature) {
  if (!IsLowerHex(signature, kSignatureBytes * 2)) {
    return false;
  }
  std::array<unsigned char, kSignatureBytes> bytes{};
  FromHex(signature, bytes);
  const std::unique_ptr<EVP_PKEY, Releaser<EVP_PKEY_free>> evp_key(
      EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, key.bytes.data(),
                                  key.bytes.size()));
  const MdContext context(EVP_MD_CTX_new());
  return evp_key != nullptr && context != nullptr &&
         EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                              evp_key.get()) == 1 &&
         EVP_DigestVerify(context.get(), bytes.data(), bytes.size(),
                          Bytes(message), message.size()) == 1;
}

}  // namespace cassiakeel::policy
