#include "Base/Hash.h"

#include <openssl/sha.h>

namespace hickory {

std::string sha256(std::string_view Text) {
  std::string Digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         reinterpret_cast<unsigned char *>(Digest.data()));
  return Digest;
}

std::uint64_t stableHash(std::string_view Text) {
  const std::string Digest = sha256(Text);
  std::uint64_t Value = 0;
  for (int I = 0; I < 8; ++I)
    Value = (Value << 8) | static_cast<unsigned char>(Digest[I]);
  return Value;
}

} // namespace hickory
