#include "basilchute-ctl/documentfile.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <toml++/toml.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// Fills messages from tables by the field names of the schema.
class TableReader {
public:
  explicit TableReader(std::string File) : m_file(std::move(File)) {}

  Status fill(const toml::table &From, Message &Into) const {
    for (const auto &[Name, Node] : From) {
      const FieldDescriptor *Field = Into.GetDescriptor()->FindFieldByName(
          std::string(std::string_view(Name.str())));
      if (!Field)
        return fault(
            Node, Name.str(),
            fmt::format("is not a field of {}", Into.GetDescriptor()->name()));
      Status Done = fillField(*Field, Node, Into);
      if (!Done.has_value())
        return Done;
    }
    return okStatus();
  }

  Error fault(const toml::node &At, std::string_view Field,
              std::string_view Text) const {
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("{}:{}: field \"{}\" {}", m_file,
                                 At.source().begin.line, Field, Text));
  }

private:
  Status fillField(const FieldDescriptor &Field, const toml::node &Node,
                   Message &Into) const {
    const auto *Access = Into.GetReflection();
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      if (!Node.is_table())
        return fault(Node, Field.name(), "must be a table");
      return fill(*Node.as_table(), *Access->MutableMessage(&Into, &Field));
    case FieldDescriptor::CPPTYPE_STRING:
      if (!Node.is_string())
        return fault(Node, Field.name(), "must be a string");
      Access->SetString(&Into, &Field, Node.as_string()->get());
      return okStatus();
    case FieldDescriptor::CPPTYPE_BOOL:
      if (!Node.is_boolean())
        return fault(Node, Field.name(), "must be true or false");
      Access->SetBool(&Into, &Field, Node.as_boolean()->get());
      return okStatus();
    case FieldDescriptor::CPPTYPE_DOUBLE:
      if (!Node.is_number())
        return fault(Node, Field.name(), "must be a number");
      Access->SetDouble(&Into, &Field, *Node.value<double>());
      return okStatus();
    default:
      return fillInteger(Field, Node, Into);
    }
  }

  Status fillInteger(const FieldDescriptor &Field, const toml::node &Node,
                     Message &Into) const {
    if (!Node.is_integer() || Node.as_integer()->get() < 0)
      return fault(Node, Field.name(), "must be a whole number from 0");
    auto Value = static_cast<uint64_t>(Node.as_integer()->get());
    const auto *Access = Into.GetReflection();
    if (Field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
      Access->SetUInt64(&Into, &Field, Value);
      return okStatus();
    }
    if (Field.cpp_type() != FieldDescriptor::CPPTYPE_UINT32 ||
        Value > UINT32_MAX)
      return fault(Node, Field.name(), "is out of range");
    Access->SetUInt32(&Into, &Field, static_cast<uint32_t>(Value));
    return okStatus();
  }

  std::string m_file;
};

/// Returns the message that a table of kind \p Kind fills, or null.
Message *messageFor(std::string_view Kind, DocumentFile &Out) {
  if (Kind == "job")
    return &Out.Jobs.emplace_back();
  if (Kind == "service")
    return Out.Documents.emplace_back().mutable_service();
  if (Kind == "team")
    return Out.Documents.emplace_back().mutable_team();
  if (Kind == "policy")
    return Out.Documents.emplace_back().mutable_policy();
  if (Kind == "cordon")
    return Out.Documents.emplace_back().mutable_cordon();
  return nullptr;
}

} // namespace

Result<DocumentFile> readDocumentFile(const std::string &File) {
  DocumentFile Out;
  TableReader Reader(File);
  try {
    toml::table Root = toml::parse_file(File);
    for (const auto &[Kind, Node] : Root) {
      const toml::array *Tables = Node.as_array();
      if (!Tables || !Tables->is_homogeneous(toml::node_type::table))
        return Reader.fault(Node, Kind.str(), "must be an array of tables");
      for (const toml::node &Each : *Tables) {
        Message *Into = messageFor(Kind.str(), Out);
        if (!Into)
          return Reader.fault(Node, Kind.str(), "is not a known kind");
        Status Done = Reader.fill(*Each.as_table(), *Into);
        if (!Done.has_value())
          return Done.error();
      }
    }
  } catch (const toml::parse_error &Fault) {
    return makeError(ResultCode::InvalidArgument,
                     fmt::format("{}:{}: {}", File, Fault.source().begin.line,
                                 Fault.description()));
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
