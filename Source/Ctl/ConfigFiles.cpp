#include "Ctl/ConfigFiles.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace hickory {

namespace {

/// Returns the sorted paths of the files to read.
Result<std::vector<std::string>> listFiles(const std::string &Path) {
  std::error_code Code;
  if (!std::filesystem::is_directory(Path, Code))
    return std::vector<std::string>{Path};
  std::vector<std::string> Files;
  for (std::filesystem::recursive_directory_iterator It(Path, Code), End;
       !Code && It != End; It.increment(Code))
    if (It->is_regular_file() && It->path().extension() == ".toml")
      Files.push_back(It->path().string());
  if (Code)
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}: cannot be read: {}", Path, Code.message()));
  if (Files.empty())
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}: contains no .toml file", Path));
  std::sort(Files.begin(), Files.end());
  return Files;
}

} // namespace

void readConfigText(const std::string &Text, const std::string &File,
                    LocalConfig &Config, std::vector<std::string> &Errors) {
  const Result<TomlNode> Document = parseToml(Text, File);
  if (!Document) {
    Errors.push_back(Document.error().Message);
    return;
  }
  TomlProblems Problems{.File = File, .Lines = {}};
  TomlTableReader Root(&*Document, "", Problems);
  if (Root.has("based_on")) {
    const auto Version =
        static_cast<std::uint64_t>(Root.integer("based_on", {.Minimum = 0}));
    Config.BasedOn = std::min(Version, Config.BasedOn.value_or(Version));
  }
  for (const std::string &Kind : configKinds()) {
    const TomlNode *KindTable = Root.table(Kind);
    if (KindTable == nullptr)
      continue;
    for (const auto &[Name, Node] : *KindTable->as<TomlNode::Table>()) {
      const ConfigObjectId Id{Kind, Name};
      if (Node.as<TomlNode::Table>() == nullptr) {
        Problems.add(Node.line(), Id.text(),
                     fmt::format("is {}; write a table [{}.NAME]",
                                 Node.typeName(), Kind));
        continue;
      }
      if (Config.Objects.contains(Id))
        Problems.add(Node.line(), Id.text(),
                     "is defined in another file too; keep one");
      (void)readConfigContent(Kind, Name, Node, Problems);
      Config.Objects[Id] = formatToml(Node);
    }
  }
  Root.refuseUnknownKeys();
  Errors.insert(Errors.end(), Problems.Lines.begin(), Problems.Lines.end());
}

Result<LocalConfig> readConfigFiles(const std::string &Path) {
  const auto Files = listFiles(Path);
  if (!Files)
    return tl::unexpected(Files.error());
  LocalConfig Config;
  std::vector<std::string> Errors;
  for (const std::string &File : *Files) {
    const Result<std::string> Text = readTextFile(File);
    if (Text)
      readConfigText(*Text, File, Config, Errors);
    else
      Errors.push_back(Text.error().Message);
  }
  if (!Errors.empty())
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}", fmt::join(Errors, "\n")));
  return Config;
}

std::string
formatConfigFile(const std::map<ConfigObjectId, std::string> &Objects,
                 std::uint64_t BasedOn) {
  std::map<std::string, TomlNode::Table> KindTables;
  for (const auto &[Id, Text] : Objects)
    if (auto Content = parseToml(Text, Id.text()))
      KindTables[Id.Kind].emplace(Id.Name, std::move(*Content));
  std::string Out = fmt::format("based_on = {}\n", BasedOn);
  for (auto &[Kind, KindTable] : KindTables) {
    TomlNode::Table Root;
    Root.emplace(Kind, TomlNode(std::move(KindTable), 0));
    Out += "\n" + formatToml(TomlNode(std::move(Root), 0));
  }
  return Out;
}

std::string canonicalizeToml(const std::string &Text) {
  const auto Document = parseToml(Text, "");
  return Document ? formatToml(*Document) : Text;
}

} // namespace hickory
