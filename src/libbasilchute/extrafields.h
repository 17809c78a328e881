/// \file
/// Fields of stored messages that the generated code does not have yet.
#pragma once

#include "basilchute/namespace.h"

#include <cstdint>
#include <google/protobuf/message.h>
#include <google/protobuf/unknown_field_set.h>

BASILCHUTE_NAMESPACE_BEGIN

/// Sets field \p Number of \p Message; nothing is stored for zero.
inline void setExtraField(google::protobuf::Message &Message, int Number,
                          uint64_t Value) {
  if (Value != 0)
    Message.GetReflection()->MutableUnknownFields(&Message)->AddVarint(Number,
                                                                       Value);
}

/// Returns field \p Number of \p Message, zero if it has none.
inline uint64_t extraField(const google::protobuf::Message &Message,
                           int Number) {
  const google::protobuf::UnknownFieldSet &Fields =
      Message.GetReflection()->GetUnknownFields(Message);
  for (int Index = 0; Index < Fields.field_count(); ++Index) {
    const google::protobuf::UnknownField &Field = Fields.field(Index);
    if (Field.number() == Number &&
        Field.type() == google::protobuf::UnknownField::TYPE_VARINT)
      return Field.varint();
  }
  return 0;
}

BASILCHUTE_NAMESPACE_END
