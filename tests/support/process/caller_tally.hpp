#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CALLER_TALLY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CALLER_TALLY_HPP

#include <map>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Results that callers received.
struct caller_tally {
    int sent = 0;
    std::map<int, int> countByStatus; ///< status 0: the connection failed before a complete answer
    std::vector<std::string> notRunIds; ///< requests refused as definitely not run
    std::vector<std::string> unknownIds; ///< requests with an unknown outcome or without a complete answer
    std::vector<std::string> answeredIds; ///< requests with an upstream's answer
    int mismatchedAnswers = 0; ///< answers that belong to another request

    int count(int status) const
    {
        const auto found = countByStatus.find(status);
        return found == countByStatus.end() ? 0 : found->second;
    }
};

} // namespace flamingoroute::testing

#endif
