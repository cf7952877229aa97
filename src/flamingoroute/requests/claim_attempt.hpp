#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_ATTEMPT_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_ATTEMPT_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/claim_decision.hpp"
#include "flamingoroute/requests/claim_limits.hpp"
#include "flamingoroute/requests/claim_record.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

namespace flamingoroute {

/// Next step of a claim attempt.
enum class claim_step {
    create, ///< create the claim object
    read, ///< read the claim object
    wait, ///< wait, then read
    done,
};

/// State machine by which one submission of a request tries to acquire the right to run it. Performs no I/O: the caller
/// passes in each store result and executes the next step. The right is granted only if the store confirms that the
/// claim object was written by this submission, so at most one submission acquires it while the claim object exists.
class claim_attempt {
public:
    /// @param ownRecord the record to create; its writer and sequence must identify this attempt only
    claim_attempt(claim_record ownRecord, claim_limits limits);

    claim_step next() const { return m_next; }
    microseconds waitTime() const { return m_wait; }
    const claim_record& ownRecord() const { return m_ownRecord; }

    void onCreated(const tl::expected<object_version, error>& result);
    void onRead(const tl::expected<stored_object, error>& result);
    void onWaited();

    /// Ends the attempt without the right to run.
    void onDeadline();

    /// @return the decision; valid once next() is `done`
    const claim_decision& decision() const { return m_decision; }

    /// @return the version of this attempt's claim object; valid if the request may run
    object_version version() const { return m_version; }

    /// @return whether a claim object of this attempt may exist or may still be created although the request may not
    /// run
    bool mayHaveLeftClaim() const { return !m_decision.mayRun && m_isOwnCreateUnconfirmed; }

private:
    void evaluate(const stored_object& object);
    void evaluateOther(const claim_record& other);
    void readAgain();
    void createAgain();
    void refuseUnresolved();
    void run(object_version version);
    void refuse(refusal_reason reason, execution_state execution, const std::string& detail);

    claim_record m_ownRecord;
    claim_limits m_limits;
    claim_step m_next = claim_step::create;
    microseconds m_wait;
    claim_decision m_decision;
    object_version m_version = 0;
    int m_creates = 0;
    int m_reads = 0;
    int m_failedReads = 0;
    bool m_isOwnCreateUnconfirmed = false;
    bool m_hasFoundOther = false;
    bool m_isOtherRunning = false;
};

} // namespace flamingoroute

#endif
