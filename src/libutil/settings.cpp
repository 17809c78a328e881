#include "libutil/settings.h"

#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sstream>
#include <toml++/toml.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

std::string_view typeName(const SettingValue &Value) {
  constexpr std::array<std::string_view, 4> Names = {
      "a string", "an integer", "true or false", "a list of strings"};
  return Names[Value.index()];
}

std::optional<SettingValue> listFromToml(const toml::array &Array) {
  std::vector<std::string> List;
  for (const toml::node &Element : Array) {
    auto Text = Element.value_exact<std::string>();
    if (!Text)
      return std::nullopt;
    List.push_back(*Text);
  }
  return List;
}

std::optional<SettingValue> valueFromToml(const toml::node &Node) {
  if (auto Text = Node.value_exact<std::string>())
    return *Text;
  if (auto Number = Node.value_exact<int64_t>())
    return *Number;
  if (auto Flag = Node.value_exact<bool>())
    return *Flag;
  if (const toml::array *Array = Node.as_array())
    return listFromToml(*Array);
  return std::nullopt;
}

std::string location(const std::string &File, const toml::node &Node) {
  return fmt::format("{}:{}", File, Node.source().begin.line);
}

/// A value of the file with its dotted key.
struct Leaf {
  std::string Key;
  const toml::node *Node;
};

void collectLeaves(const toml::table &Parent, const std::string &Prefix,
                   std::vector<Leaf> &Leaves) {
  for (const auto &[Name, Node] : Parent) {
    std::string Key = Prefix + std::string(Name.str());
    if (const toml::table *Table = Node.as_table())
      collectLeaves(*Table, Key + ".", Leaves);
    else
      Leaves.push_back({Key, &Node});
  }
}

} // namespace

std::string formatSetting(const SettingValue &Value) {
  toml::array Array;
  struct Writer {
    std::string operator()(const std::string &Text) const {
      std::ostringstream Out;
      Out << toml::value<std::string>(Text);
      return Out.str();
    }
    std::string operator()(int64_t Number) const {
      return fmt::format("{}", Number);
    }
    std::string operator()(bool Flag) const { return Flag ? "true" : "false"; }
    std::string operator()(const std::vector<std::string> &List) const {
      std::vector<std::string> Parts;
      Parts.reserve(List.size());
      for (const std::string &Element : List)
        Parts.push_back((*this)(Element));
      return fmt::format("[{}]", fmt::join(Parts, ", "));
    }
  };
  return std::visit(Writer{}, Value);
}

Settings::Settings(std::vector<SettingSpec> Specs) : m_specs(std::move(Specs)) {
  for (const SettingSpec &Spec : m_specs)
    m_values[Spec.Key] = Spec.Default;
}

const SettingSpec *Settings::find(std::string_view Key) const {
  for (const SettingSpec &Spec : m_specs)
    if (Spec.Key == Key)
      return &Spec;
  return nullptr;
}

void Settings::assign(const SettingSpec &Spec, SettingValue Value,
                      std::string Location, std::vector<SettingError> &Errors) {
  if (Value.index() != Spec.Default.index()) {
    Errors.push_back({std::move(Location), Spec.Key,
                      fmt::format("must be {}", typeName(Spec.Default))});
    return;
  }
  const int64_t *Number = std::get_if<int64_t>(&Value);
  if (Number && (*Number < Spec.Min || *Number > Spec.Max)) {
    Errors.push_back({std::move(Location), Spec.Key,
                      fmt::format("{} is not between {} and {}", *Number,
                                  Spec.Min, Spec.Max)});
    return;
  }
  m_values[Spec.Key] = std::move(Value);
}

std::vector<SettingError> Settings::loadFile(const std::string &File) {
  std::vector<SettingError> Errors;
  toml::table Root;
  try {
    Root = toml::parse_file(File);
  } catch (const toml::parse_error &Failure) {
    Errors.push_back({fmt::format("{}:{}", File, Failure.source().begin.line),
                      "", std::string(Failure.description())});
    return Errors;
  }
  std::vector<Leaf> Leaves;
  collectLeaves(Root, "", Leaves);
  for (const Leaf &Entry : Leaves) {
    const SettingSpec *Spec = find(Entry.Key);
    if (!Spec) {
      Errors.push_back(
          {location(File, *Entry.Node), Entry.Key, "is not a known setting"});
      continue;
    }
    std::optional<SettingValue> Value = valueFromToml(*Entry.Node);
    if (!Value) {
      Errors.push_back({location(File, *Entry.Node), Entry.Key,
                        fmt::format("must be {}", typeName(Spec->Default))});
      continue;
    }
    assign(*Spec, std::move(*Value), location(File, *Entry.Node), Errors);
  }
  return Errors;
}

std::vector<SettingError> Settings::set(std::string_view Assignment) {
  std::vector<SettingError> Errors;
  size_t Equals = Assignment.find('=');
  std::string Key(Assignment.substr(0, Equals));
  const SettingSpec *Spec = find(Key);
  if (Equals == std::string_view::npos || !Spec) {
    Errors.push_back(
        {"--set", Key,
         Spec ? "must have the form KEY=VALUE" : "is not a known setting"});
    return Errors;
  }
  std::string Text(Assignment.substr(Equals + 1));
  if (std::holds_alternative<std::string>(Spec->Default)) {
    assign(*Spec, Text, "--set", Errors);
    return Errors;
  }
  try {
    toml::table Parsed = toml::parse("value = " + Text);
    std::optional<SettingValue> Value = valueFromToml(*Parsed.get("value"));
    assign(*Spec, Value.value_or(SettingValue(std::string())), "--set", Errors);
  } catch (const toml::parse_error &) {
    Errors.push_back(
        {"--set", Key, fmt::format("must be {}", typeName(Spec->Default))});
  }
  return Errors;
}

std::vector<SettingError> Settings::missing() const {
  std::vector<SettingError> Errors;
  for (const SettingSpec &Spec : m_specs) {
    if (!Spec.Required)
      continue;
    const SettingValue &Value = m_values.at(Spec.Key);
    const auto *Text = std::get_if<std::string>(&Value);
    const auto *List = std::get_if<std::vector<std::string>>(&Value);
    if ((Text && Text->empty()) || (List && List->empty()))
      Errors.push_back({"settings", Spec.Key, "is required"});
  }
  return Errors;
}

const std::string &Settings::text(const std::string &Key) const {
  return std::get<std::string>(m_values.at(Key));
}
int64_t Settings::integer(const std::string &Key) const {
  return std::get<int64_t>(m_values.at(Key));
}
bool Settings::flag(const std::string &Key) const {
  return std::get<bool>(m_values.at(Key));
}
const std::vector<std::string> &Settings::list(const std::string &Key) const {
  return std::get<std::vector<std::string>>(m_values.at(Key));
}
milliseconds Settings::duration(const std::string &Key) const {
  return milliseconds(integer(Key));
}

std::string Settings::table() const {
  std::string Out = "| key | default | meaning |\n|---|---|---|\n";
  for (const SettingSpec &Spec : m_specs)
    Out += fmt::format("| `{}` | {} | {} |\n", Spec.Key,
                       Spec.Required
                           ? "required"
                           : fmt::format("`{}`", formatSetting(Spec.Default)),
                       Spec.Help);
  return Out;
}

std::string Settings::dump() const {
  std::string Out;
  for (const auto &[Key, Value] : m_values)
    Out += fmt::format("{} = {}\n", Key, formatSetting(Value));
  return Out;
}

BASILCHUTE_NAMESPACE_END
