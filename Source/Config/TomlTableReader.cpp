#include "Config/TomlTableReader.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace hickory {

void TomlProblems::add(std::uint32_t Line, const std::string &Key,
                       const std::string &Message) {
  const std::string Place =
      Line > 0 ? fmt::format("{}:{}", File, Line) : std::string(File);
  Lines.push_back(Key.empty() ? fmt::format("{}: {}", Place, Message)
                              : fmt::format("{}: {}: {}", Place, Key, Message));
}

std::string TomlProblems::joined() const {
  return fmt::format("{}", fmt::join(Lines, "\n"));
}

TomlTableReader::TomlTableReader(const TomlNode *Node, std::string Path,
                                 TomlProblems &Problems)
    : Path_(std::move(Path)), Problems_(Problems) {
  if (Node == nullptr)
    return;
  Table_ = Node->as<TomlNode::Table>();
  Line_ = Node->line();
}

const TomlNode *TomlTableReader::find(const std::string &Key) {
  Known_.insert(Key);
  if (Table_ == nullptr)
    return nullptr;
  const auto It = Table_->find(Key);
  return It == Table_->end() ? nullptr : &It->second;
}

bool TomlTableReader::has(const std::string &Key) {
  return find(Key) != nullptr;
}

std::uint32_t TomlTableReader::lineOf(const std::string &Key) const {
  if (Table_ != nullptr)
    if (const auto It = Table_->find(Key); It != Table_->end())
      return It->second.line();
  return Line_;
}

std::string TomlTableReader::pathOf(const std::string &Key) const {
  return Path_.empty() ? Key : Path_ + "." + Key;
}

void TomlTableReader::problem(const std::string &Key,
                              const std::string &Message) {
  Problems_.add(lineOf(Key), pathOf(Key), Message);
}

std::int64_t TomlTableReader::integer(const std::string &Key,
                                      const IntegerRule &Rule) {
  const std::string Range =
      fmt::format("write an integer{} from {} to {}",
                  Rule.Unit.empty() ? std::string() : " in " + Rule.Unit,
                  Rule.Minimum, Rule.Maximum);
  const std::int64_t Fallback = Rule.Default.value_or(Rule.Minimum);
  const TomlNode *Node = find(Key);
  if (Node == nullptr) {
    if (!Rule.Default)
      problem(Key, "is missing; " + Range);
    return Fallback;
  }
  const auto *Value = Node->as<std::int64_t>();
  if (Value == nullptr) {
    problem(Key, fmt::format("is {}; {}", Node->typeName(), Range));
    return Fallback;
  }
  if (*Value < Rule.Minimum || *Value > Rule.Maximum) {
    problem(Key, fmt::format("is {}; {}", *Value, Range));
    return Fallback;
  }
  return *Value;
}

double TomlTableReader::number(const std::string &Key, const NumberRule &Rule) {
  const std::string Range =
      fmt::format("write a number{} from {} to {}",
                  Rule.Unit.empty() ? std::string() : " in " + Rule.Unit,
                  Rule.Minimum, Rule.Maximum);
  const double Fallback = Rule.Default.value_or(Rule.Minimum);
  const TomlNode *Node = find(Key);
  if (Node == nullptr) {
    if (!Rule.Default)
      problem(Key, "is missing; " + Range);
    return Fallback;
  }
  double Value = 0;
  if (const auto *Floating = Node->as<double>())
    Value = *Floating;
  else if (const auto *Integer = Node->as<std::int64_t>())
    Value = static_cast<double>(*Integer);
  else {
    problem(Key, fmt::format("is {}; {}", Node->typeName(), Range));
    return Fallback;
  }
  // Written so that a NaN is refused as well.
  if (!(Value >= Rule.Minimum && Value <= Rule.Maximum)) {
    problem(Key, fmt::format("is {}; {}", Value, Range));
    return Fallback;
  }
  return Value;
}

std::string TomlTableReader::text(const std::string &Key,
                                  const TextRule &Rule) {
  const TomlNode *Node = find(Key);
  if (Node == nullptr) {
    if (!Rule.Default)
      problem(Key, "is missing; write a string");
    return Rule.Default.value_or("");
  }
  const auto *Value = Node->as<std::string>();
  if (Value == nullptr) {
    problem(Key, fmt::format("is {}; write a string", Node->typeName()));
    return Rule.Default.value_or("");
  }
  if (Rule.Check)
    if (const std::string Wanted = Rule.Check(*Value); !Wanted.empty()) {
      problem(Key, fmt::format("is \"{}\"; {}", *Value, Wanted));
      return Rule.Default.value_or("");
    }
  return *Value;
}

bool TomlTableReader::flag(const std::string &Key, bool Default) {
  const TomlNode *Node = find(Key);
  if (Node == nullptr)
    return Default;
  if (const bool *Value = Node->as<bool>())
    return *Value;
  problem(Key, fmt::format("is {}; write true or false", Node->typeName()));
  return Default;
}

std::vector<std::string> TomlTableReader::texts(const std::string &Key) {
  std::vector<std::string> Values;
  const TomlNode *Node = find(Key);
  if (Node == nullptr)
    return Values;
  const auto *Array = Node->as<TomlNode::Array>();
  if (Array == nullptr) {
    problem(Key,
            fmt::format("is {}; write an array of strings", Node->typeName()));
    return Values;
  }
  for (const TomlNode &Element : *Array) {
    if (const auto *Value = Element.as<std::string>())
      Values.push_back(*Value);
    else
      problem(Key, fmt::format("contains {}; write strings only",
                               Element.typeName()));
  }
  return Values;
}

const TomlNode *TomlTableReader::table(const std::string &Key) {
  const TomlNode *Node = find(Key);
  if (Node == nullptr || Node->as<TomlNode::Table>() != nullptr)
    return Node;
  problem(Key, fmt::format("is {}; write a table [{}]", Node->typeName(),
                           pathOf(Key)));
  return nullptr;
}

std::vector<const TomlNode *> TomlTableReader::tables(const std::string &Key) {
  std::vector<const TomlNode *> Found;
  const TomlNode *Node = find(Key);
  if (Node == nullptr)
    return Found;
  const auto *Array = Node->as<TomlNode::Array>();
  if (Array == nullptr) {
    problem(Key, fmt::format("is {}; write an array of tables [[{}]]",
                             Node->typeName(), pathOf(Key)));
    return Found;
  }
  for (const TomlNode &Element : *Array) {
    if (Element.as<TomlNode::Table>() != nullptr)
      Found.push_back(&Element);
    else
      problem(Key, fmt::format("contains {}; write tables [[{}]] only",
                               Element.typeName(), pathOf(Key)));
  }
  return Found;
}

void TomlTableReader::refuseUnknownKeys() {
  if (Table_ == nullptr)
    return;
  for (const auto &[Key, Node] : *Table_)
    if (!Known_.contains(Key))
      problem(Key, fmt::format("is not a known key; remove it or use one of {}",
                               fmt::join(Known_, ", ")));
}

std::string checkName(const std::string &Text) {
  const bool Good = !Text.empty() && Text.size() <= 64 &&
                    std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
                      return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                             (C >= '0' && C <= '9') || C == '-' || C == '_' ||
                             C == '.';
                    });
  return Good ? std::string()
              : "write 1 to 64 characters out of letters, digits, '-', '_' "
                "and '.'";
}

std::string checkIpAddress(const std::string &Text) {
  std::error_code Code;
  asio::ip::make_address(Text, Code);
  return Code ? "write an IP number such as 10.0.0.7" : std::string();
}

std::string checkEndpoint(const std::string &Text) {
  const std::string Wanted = "write an IP number and a port such as "
                             "10.0.0.7:7100";
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Wanted;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  int Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Failure != std::errc() || Stop != End || Port < 1 || Port > 65535 ||
      !checkIpAddress(Host).empty())
    return Wanted;
  return {};
}

std::string checkHttpUrl(const std::string &Text) {
  const std::string Prefix = "http://";
  const std::string Wanted =
      "write a URL with an IP number and a port such as http://10.0.0.7:7000";
  if (!Text.starts_with(Prefix))
    return Wanted;
  const std::string Host =
      Text.substr(Prefix.size(), Text.find('/', Prefix.size()) - Prefix.size());
  return checkEndpoint(Host).empty() ? std::string() : Wanted;
}

} // namespace hickory
