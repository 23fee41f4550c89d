/// @file Shows that a request whose response was lost is retried only if it is idempotent: a debit that is not could
/// run twice.
#include <iostream>

#include "snipevalve/request/request_life.hpp"

int main()
{
    using namespace snipevalve;
    RetryBudget budget;
    for (const bool idempotent : {true, false}) {
        RequestLife life({idempotent, true, TimePoint(Milliseconds(1000))});
        const NextStep step = life.onAttemptEnd(AttemptEnd::Lost, TimePoint(), budget);
        const bool retries = std::holds_alternative<RetryAfter>(step);
        std::cout << (idempotent ? "a lookup" : "a debit")
                  << " without an answer: " << (retries ? "sent again" : toString(std::get<Finish>(step).outcome))
                  << "\n";
    }
    return 0;
}
