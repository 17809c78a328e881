/// \file
/// Validated settings from a TOML file and the command line.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Value of a setting. Durations are integers in milliseconds.
using SettingValue =
    std::variant<std::string, int64_t, bool, std::vector<std::string>>;

/// Specification of a setting.
struct SettingSpec {
  /// Dotted key, such as "store.address".
  std::string Key;
  /// Default value; its type is the type of the setting.
  SettingValue Default;
  /// One sentence for docs/SETTINGS.md.
  std::string Help;
  /// For integers: minimum and maximum.
  int64_t Min = 0;
  int64_t Max = INT64_MAX;
  /// For strings and lists: true if an empty value is an error.
  bool Required = false;
};

/// An error in the settings.
struct SettingError {
  /// FILE:LINE, "--set", or "settings" for a missing setting.
  std::string Location;
  std::string Key;
  std::string Text;
};

/// Values of all known settings. Reading an unknown key, or a key of another
/// type, is a programming error and throws.
class Settings {
public:
  explicit Settings(std::vector<SettingSpec> Specs);

  /// Loads the TOML file \p File; returns all errors found in it.
  std::vector<SettingError> loadFile(const std::string &File);
  /// Applies \p Assignment, of the form KEY=VALUE; returns the errors.
  std::vector<SettingError> set(std::string_view Assignment);
  /// Returns an error for each required setting that is empty.
  std::vector<SettingError> missing() const;

  const std::string &text(const std::string &Key) const;
  int64_t integer(const std::string &Key) const;
  bool flag(const std::string &Key) const;
  const std::vector<std::string> &list(const std::string &Key) const;
  /// Reads an integer setting as milliseconds.
  milliseconds duration(const std::string &Key) const;
  /// Returns all settings as TOML, sorted by key.
  std::string dump() const;
  /// Returns the specifications of all settings as a Markdown table.
  std::string table() const;
  const std::vector<SettingSpec> &specs() const { return m_specs; }

private:
  const SettingSpec *find(std::string_view Key) const;
  void assign(const SettingSpec &Spec, SettingValue Value, std::string Location,
              std::vector<SettingError> &Errors);

  std::vector<SettingSpec> m_specs;
  std::map<std::string, SettingValue> m_values;
};

/// Formats \p Value as TOML.
std::string formatSetting(const SettingValue &Value);

BASILCHUTE_NAMESPACE_END
