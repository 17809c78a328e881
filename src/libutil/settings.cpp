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

std::optional<SettingValue> listFromToml(const toml::array &From) {
  std::vector<std::string> Out;
  for (const toml::node &Each : From) {
    auto Text = Each.value_exact<std::string>();
    if (!Text)
      return std::nullopt;
    Out.push_back(*Text);
  }
  return Out;
}

std::optional<SettingValue> valueFromToml(const toml::node &From) {
  if (auto Text = From.value_exact<std::string>())
    return *Text;
  if (auto Number = From.value_exact<int64_t>())
    return *Number;
  if (auto Flag = From.value_exact<bool>())
    return *Flag;
  if (const toml::array *Array = From.as_array())
    return listFromToml(*Array);
  return std::nullopt;
}

std::string place(const std::string &File, const toml::node &Node) {
  return fmt::format("{}:{}", File, Node.source().begin.line);
}

/// A leaf of the file with its dotted key.
struct Leaf {
  std::string Key;
  const toml::node *Node;
};

void collectLeaves(const toml::table &From, const std::string &Prefix,
                   std::vector<Leaf> &Out) {
  for (const auto &[Name, Node] : From) {
    std::string Key = Prefix + std::string(Name.str());
    if (const toml::table *Table = Node.as_table())
      collectLeaves(*Table, Key + ".", Out);
    else
      Out.push_back({Key, &Node});
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
      for (const std::string &Each : List)
        Parts.push_back((*this)(Each));
      return fmt::format("[{}]", fmt::join(Parts, ", "));
    }
  };
  return std::visit(Writer{}, Value);
}

Settings::Settings(std::vector<SettingSpec> Specs) : m_specs(std::move(Specs)) {
  for (const SettingSpec &Each : m_specs)
    m_values[Each.Key] = Each.Default;
}

const SettingSpec *Settings::find(std::string_view Key) const {
  for (const SettingSpec &Each : m_specs)
    if (Each.Key == Key)
      return &Each;
  return nullptr;
}

void Settings::assign(const SettingSpec &Spec, SettingValue Value,
                      std::string Where, std::vector<SettingError> &Errors) {
  if (Value.index() != Spec.Default.index()) {
    Errors.push_back({std::move(Where), Spec.Key,
                      fmt::format("must be {}", typeName(Spec.Default))});
    return;
  }
  const int64_t *Number = std::get_if<int64_t>(&Value);
  if (Number && (*Number < Spec.Min || *Number > Spec.Max)) {
    Errors.push_back({std::move(Where), Spec.Key,
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
  } catch (const toml::parse_error &Fault) {
    Errors.push_back({fmt::format("{}:{}", File, Fault.source().begin.line), "",
                      std::string(Fault.description())});
    return Errors;
  }
  std::vector<Leaf> Leaves;
  collectLeaves(Root, "", Leaves);
  for (const Leaf &Each : Leaves) {
    const SettingSpec *Spec = find(Each.Key);
    if (!Spec) {
      Errors.push_back(
          {place(File, *Each.Node), Each.Key, "is not a known setting"});
      continue;
    }
    std::optional<SettingValue> Value = valueFromToml(*Each.Node);
    if (!Value) {
      Errors.push_back({place(File, *Each.Node), Each.Key,
                        fmt::format("must be {}", typeName(Spec->Default))});
      continue;
    }
    assign(*Spec, std::move(*Value), place(File, *Each.Node), Errors);
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
  for (const SettingSpec &Each : m_specs) {
    if (!Each.Required)
      continue;
    const SettingValue &Value = m_values.at(Each.Key);
    const auto *Text = std::get_if<std::string>(&Value);
    const auto *List = std::get_if<std::vector<std::string>>(&Value);
    if ((Text && Text->empty()) || (List && List->empty()))
      Errors.push_back({"settings", Each.Key, "is required"});
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
  for (const SettingSpec &Each : m_specs)
    Out += fmt::format("| `{}` | {} | {} |\n", Each.Key,
                       Each.Required
                           ? "required"
                           : fmt::format("`{}`", formatSetting(Each.Default)),
                       Each.Help);
  return Out;
}

std::string Settings::dump() const {
  std::string Out;
  for (const auto &[Key, Value] : m_values)
    Out += fmt::format("{} = {}\n", Key, formatSetting(Value));
  return Out;
}

BASILCHUTE_NAMESPACE_END
