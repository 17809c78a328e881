/// \file
/// Reader of configuration documents and jobs in TOML.
#pragma once

#include "basilchute/result.h"
#include "schema/basilchute.pb.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Contents of one file: documents to apply and jobs to submit.
struct DocumentFile {
  std::vector<v1::Document> Documents;
  std::vector<v1::SubmitJobRequest> Jobs;
};

/// Reads the arrays of tables [[service]], [[team]], [[policy]], [[cordon]] and
/// [[job]] of \p File. Fails with InvalidArgument and a message that names the
/// file, the line and, if the file is valid TOML, the field.
Result<DocumentFile> readDocumentFile(const std::string &File);

BASILCHUTE_NAMESPACE_END
