#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/policy/policy.h"

// Key type of OpenSSL, declared here so that its headers stay out of users of
// this library.
struct evp_pkey_st;

namespace cassiakeel::policy {

/// SHA-256 of `bytes` as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view bytes);

/// Whether `text` has the form of a value of `Sha256Hex`.
bool IsDigest(std::string_view text);

/// Whether `name` can name a proposer or approver: 1 to 64 letters, digits or
/// ". _ @ -".
bool IsPersonName(std::string_view name);

/// Ed25519 public key (RFC 8032).
struct PublicKey {
  std::array<unsigned char, 32> bytes{};

  /// 64 hex digits, as in `--approver-key NAME=HEX`.
  std::string ToHex() const;
  static Result<PublicKey> FromHex(std::string_view hex);

  friend bool operator==(const PublicKey&, const PublicKey&) = default;
};

/// Ed25519 private key. Kept by OpenSSL, which clears it when released.
class PrivateKey {
 public:
  /// Throws `Exception` when the system has no randomness to give.
  static PrivateKey Generate();
  /// Reads a PKCS #8 PEM block without a passphrase.
  static Result<PrivateKey> FromPem(std::string_view pem);

  std::string ToPem() const;
  PublicKey Public() const;
  /// Signature of `message` as 128 hex digits.
  std::string Sign(std::string_view message) const;

 private:
  explicit PrivateKey(std::shared_ptr<evp_pkey_st> key) : key(std::move(key)) {}

  std::shared_ptr<evp_pkey_st> key;
};

/// Whether `signature` (hex) is `key`'s signature of `message`.
bool VerifySignature(const PublicKey& key,
                     std::string_view message,
                     std::string_view signature);

/// Keys of the approvers by name. An approver has two keys while one replaces
/// the other.
using TrustedKeys = std::multimap<std::string, PublicKey>;

/// Adds a setting of the form NAME=HEX.
Result<TrustedKeys> ParseTrustedKey(std::string_view setting);

/// Legal's statement that a sheet is the policy in force from `version` on.
/// The row `policy/head` holds one as JSON.
struct Approval {
  PolicyVersion version;
  /// SHA-256 of the sheet.
  std::string digest;
  /// Version that this one replaces; always `version` - 1.
  PolicyVersion previous;
  std::string approver;
  std::string proposer;
  /// Unix time.
  std::int64_t time_ms = 0;
  /// Random id of the write, by which a writer whose response was lost
  /// recognises its own write.
  std::string change_id;
  /// Ed25519 signature of `SignedBytes`, 128 hex digits.
  std::string signature;

  friend bool operator==(const Approval&, const Approval&) = default;
};

/// The bytes that an approval's signature covers: a fixed domain string, then
/// every field but the signature with its length, so that no two approvals
/// share them and no signature made for another purpose fits.
std::string SignedBytes(const Approval& approval);

void SignApproval(Approval& approval, const PrivateKey& key);

/// Checks form, roles, signature and that `sheet` is what was approved.
Result<void> VerifyApproval(const Approval& approval,
                            const TrustedKeys& keys,
                            std::string_view sheet);

/// The policy to put in force after `current` (0 for none). Refuses versions
/// that are not higher, so that a replayed old approval never reverts the
/// policy, and sheets with any fault.
Result<Policy> AcceptPolicy(PolicyVersion current,
                            const Approval& head,
                            std::string_view sheet,
                            const TrustedKeys& keys);

/// JSON of the row `policy/head`.
std::string EncodeApproval(const Approval& approval);
Result<Approval> DecodeApproval(std::string_view json);

}  // namespace cassiakeel::policy
