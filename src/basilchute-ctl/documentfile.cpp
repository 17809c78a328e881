#include "basilchute-ctl/documentfile.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <toml++/toml.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// Fills protobuf messages from TOML tables whose keys are the field names of
/// the schema.
class TableReader {
public:
  explicit TableReader(std::string File) : m_file(std::move(File)) {}

  Status fill(const toml::table &Table, Message &Target) const {
    for (const auto &[Name, Node] : Table) {
      const FieldDescriptor *Field = Target.GetDescriptor()->FindFieldByName(
          std::string(std::string_view(Name.str())));
      if (!Field)
        return fieldError(Node, Name.str(),
                          fmt::format("is not a field of {}",
                                      Target.GetDescriptor()->name()));
      Status FillStatus = fillField(*Field, Node, Target);
      if (!FillStatus.has_value())
        return FillStatus;
    }
    return okStatus();
  }

  Error fieldError(const toml::node &Position, std::string_view Field,
                   std::string_view Text) const {
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("{}:{}: field \"{}\" {}", m_file,
                                 Position.source().begin.line, Field, Text));
  }

private:
  Status fillField(const FieldDescriptor &Field, const toml::node &Node,
                   Message &Target) const {
    const auto *Reflection = Target.GetReflection();
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      if (!Node.is_table())
        return fieldError(Node, Field.name(), "must be a table");
      return fill(*Node.as_table(),
                  *Reflection->MutableMessage(&Target, &Field));
    case FieldDescriptor::CPPTYPE_STRING:
      if (!Node.is_string())
        return fieldError(Node, Field.name(), "must be a string");
      Reflection->SetString(&Target, &Field, Node.as_string()->get());
      return okStatus();
    case FieldDescriptor::CPPTYPE_BOOL:
      if (!Node.is_boolean())
        return fieldError(Node, Field.name(), "must be true or false");
      Reflection->SetBool(&Target, &Field, Node.as_boolean()->get());
      return okStatus();
    case FieldDescriptor::CPPTYPE_DOUBLE:
      if (!Node.is_number())
        return fieldError(Node, Field.name(), "must be a number");
      Reflection->SetDouble(&Target, &Field, *Node.value<double>());
      return okStatus();
    default:
      return fillInteger(Field, Node, Target);
    }
  }

  Status fillInteger(const FieldDescriptor &Field, const toml::node &Node,
                     Message &Target) const {
    if (!Node.is_integer() || Node.as_integer()->get() < 0)
      return fieldError(Node, Field.name(), "must be a non-negative integer");
    auto Value = static_cast<uint64_t>(Node.as_integer()->get());
    const auto *Reflection = Target.GetReflection();
    if (Field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
      Reflection->SetUInt64(&Target, &Field, Value);
      return okStatus();
    }
    if (Field.cpp_type() != FieldDescriptor::CPPTYPE_UINT32 ||
        Value > UINT32_MAX)
      return fieldError(Node, Field.name(), "is out of range");
    Reflection->SetUInt32(&Target, &Field, static_cast<uint32_t>(Value));
    return okStatus();
  }

  std::string m_file;
};

/// Adds to \p Contents the message for a table of kind \p Kind and returns it,
/// or null if the kind is unknown.
Message *messageFor(std::string_view Kind, DocumentFile &Contents) {
  if (Kind == "job")
    return &Contents.Jobs.emplace_back();
  if (Kind == "service")
    return Contents.Documents.emplace_back().mutable_service();
  if (Kind == "team")
    return Contents.Documents.emplace_back().mutable_team();
  if (Kind == "policy")
    return Contents.Documents.emplace_back().mutable_policy();
  if (Kind == "cordon")
    return Contents.Documents.emplace_back().mutable_cordon();
  return nullptr;
}

} // namespace

Result<DocumentFile> readDocumentFile(const std::string &File) {
  DocumentFile Contents;
  TableReader Reader(File);
  try {
    toml::table Root = toml::parse_file(File);
    for (const auto &[Kind, Node] : Root) {
      const toml::array *Tables = Node.as_array();
      if (!Tables || !Tables->is_homogeneous(toml::node_type::table))
        return Reader.fieldError(Node, Kind.str(),
                                 "must be an array of tables");
      for (const toml::node &Table : *Tables) {
        Message *Target = messageFor(Kind.str(), Contents);
        if (!Target)
          return Reader.fieldError(Node, Kind.str(), "is not a known kind");
        Status FillStatus = Reader.fill(*Table.as_table(), *Target);
        if (!FillStatus.has_value())
          return FillStatus.error();
      }
    }
  } catch (const toml::parse_error &Failure) {
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("{}:{}: {}", File, Failure.source().begin.line,
                                 Failure.description()));
  }
  return Contents;
}

BASILCHUTE_NAMESPACE_END
