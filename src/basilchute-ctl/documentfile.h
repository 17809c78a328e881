/// \file
/// Reads configuration documents and jobs from TOML.
#pragma once

#include "basilchute/result.h"
#include "schema/basilchute.pb.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What one file asks for.
struct DocumentFile {
  std::vector<v1::Document> Documents;
  std::vector<v1::SubmitJobRequest> Jobs;
};

/// Reads \p File with its arrays of tables [[service]], [[team]], [[policy]],
/// [[cordon]] and [[job]]. Fails with InvalidArgument naming file, line and
/// field.
Result<DocumentFile> readDocumentFile(const std::string &File);

BASILCHUTE_NAMESPACE_END
