#include "Base/Hash.h"

#include <array>
#include <glog/logging.h>
#include <memory>
#include <openssl/evp.h>

namespace hickory {

namespace {

constexpr std::size_t DigestBytes = 32;
using Digest = std::array<unsigned char, DigestBytes>;

struct ContextDeleter {
  void operator()(EVP_MD_CTX *Context) const { EVP_MD_CTX_free(Context); }
};

/// The one-shot functions of OpenSSL look the algorithm up by its name and
/// allocate a context in each call, which costs more than the digest of a short
/// text. Here both are kept.
Digest digestOf(std::string_view Text) {
  static EVP_MD *const Algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  CHECK(Algorithm != nullptr);
  thread_local const std::unique_ptr<EVP_MD_CTX, ContextDeleter> Context(
      EVP_MD_CTX_new());
  Digest Bytes{};
  unsigned int Length = 0;
  CHECK_EQ(EVP_DigestInit_ex2(Context.get(), Algorithm, nullptr), 1);
  CHECK_EQ(EVP_DigestUpdate(Context.get(), Text.data(), Text.size()), 1);
  CHECK_EQ(EVP_DigestFinal_ex(Context.get(), Bytes.data(), &Length), 1);
  return Bytes;
}

} // namespace

std::string sha256(std::string_view Text) {
  const Digest Bytes = digestOf(Text);
  return {Bytes.begin(), Bytes.end()};
}

std::uint64_t stableHash(std::string_view Text) {
  const Digest Bytes = digestOf(Text);
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < sizeof(Value); ++I)
    Value = (Value << 8) | Bytes[I];
  return Value;
}

} // namespace hickory
