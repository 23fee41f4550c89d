/// @file Shows why a debit whose answer was lost is not sent again.
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
