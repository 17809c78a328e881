/// \file
/// Checked settings from a TOML file and the command line.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A setting's value. Durations are whole milliseconds in the file.
using SettingValue =
    std::variant<std::string, int64_t, bool, std::vector<std::string>>;

/// One known setting.
struct SettingSpec {
  /// Dotted key, such as "store.address".
  std::string Key;
  /// Default, which also fixes the type.
  SettingValue Default;
  /// One sentence for docs/SETTINGS.md.
  std::string Help;
  /// For integers: least and greatest value.
  int64_t Min = 0;
  int64_t Max = INT64_MAX;
  /// For texts: true if an empty value is an error.
  bool Required = false;
};

/// One fault found in the settings.
struct SettingError {
  /// File and line, or "--set".
  std::string Where;
  std::string Key;
  std::string Text;
};

/// Values of all known settings. Reading a key that is not in the table, or
/// with another type, is a programming fault and throws.
class Settings {
public:
  explicit Settings(std::vector<SettingSpec> Specs);

  /// Reads \p File; returns every fault, none if all is well.
  std::vector<SettingError> loadFile(const std::string &File);
  /// Applies one KEY=VALUE; returns every fault.
  std::vector<SettingError> set(std::string_view Assignment);
  /// Returns the settings that are required and empty.
  std::vector<SettingError> missing() const;

  const std::string &text(const std::string &Key) const;
  int64_t integer(const std::string &Key) const;
  bool flag(const std::string &Key) const;
  const std::vector<std::string> &list(const std::string &Key) const;
  /// Reads an integer setting as milliseconds.
  milliseconds duration(const std::string &Key) const;
  /// All settings as TOML, in the order of their keys.
  std::string dump() const;
  /// All known settings as a Markdown table.
  std::string table() const;
  const std::vector<SettingSpec> &specs() const { return m_specs; }

private:
  const SettingSpec *find(std::string_view Key) const;
  void assign(const SettingSpec &Spec, SettingValue Value, std::string Where,
              std::vector<SettingError> &Errors);

  std::vector<SettingSpec> m_specs;
  std::map<std::string, SettingValue> m_values;
};

/// Writes a value as TOML.
std::string formatSetting(const SettingValue &Value);

BASILCHUTE_NAMESPACE_END
