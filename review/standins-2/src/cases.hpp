#ifndef REVIEW_CASES_HPP
#define REVIEW_CASES_HPP

#include "record.hpp"

namespace review {

/// @brief Case 6: uploads with a transfer coding other than `chunked`.
Verdict playSmuggledRequest(Record &record);

} // namespace review

#endif // REVIEW_CASES_HPP
