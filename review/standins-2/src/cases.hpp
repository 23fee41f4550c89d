#ifndef REVIEW_CASES_HPP
#define REVIEW_CASES_HPP

#include "record.hpp"

namespace review {

/// @brief Case 6: uploads with a transfer coding other than `chunked`.
Verdict playSmuggledRequest(Record &record);

/// @brief Case 7: an answer of the store is lost while a host takes a service over.
Verdict playLostAnswer(Record &record);

/// @brief Case 8: servers are replaced by others at new addresses.
Verdict playReplacedServers(Record &record);

/// @brief Case 9: the store returns from an outage without its history.
Verdict playLostHistory(Record &record);

} // namespace review

#endif // REVIEW_CASES_HPP
