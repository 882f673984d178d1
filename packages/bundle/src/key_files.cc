#include "cranberryplank/bundle/key_files.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <system_error>

namespace cranberryplank {

namespace {

constexpr int kSecretMode = 0600;
constexpr int kPublicMode = 0644;

std::string ErrorText() { return std::generic_category().message(errno); }

}  // namespace

bool KeyFiles::Create(const std::string& path) {
  const SigningKey key = SigningKey::Generate();
  return Write(path + ".key", key.Hex() + "\n", kSecretMode) &&
         Write(path + ".pub", key.Public().Hex() + "\n", kPublicMode);
}

std::optional<SigningKey> KeyFiles::ReadSecret(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) == 0 && (status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    m_last_reason = fmt::format("{} must be accessible to its owner only", path);
    return std::nullopt;
  }
  const auto text = Read(path);
  if (!text) {
    return std::nullopt;
  }
  auto key = SigningKey::FromHex(*text);
  if (!key) {
    m_last_reason = fmt::format("{} holds no secret key", path);
  }
  return key;
}

std::optional<PublicKey> KeyFiles::ReadPublic(const std::string& path) {
  const auto text = Read(path);
  if (!text) {
    return std::nullopt;
  }
  auto key = PublicKey::FromHex(*text);
  if (!key) {
    m_last_reason = fmt::format("{} holds no public key", path);
  }
  return key;
}

bool KeyFiles::Write(const std::string& path, std::string_view text, int mode) {
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (file < 0) {
    m_last_reason = fmt::format("cannot create {}: {}", path, ErrorText());
    return false;
  }
  const bool written = write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  if (close(file) != 0 || !written) {
    m_last_reason = fmt::format("cannot write {}", path);
    return false;
  }
  return true;
}

std::optional<std::string> KeyFiles::Read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    m_last_reason = fmt::format("cannot read {}: {}", path, ErrorText());
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace cranberryplank
