/* Counters of the project's own: one for each refusal, drop and retry
 * reason, and for the normal outcomes beside them.
 *
 * The list below is the only place where a counter is named; the admin
 * page, the log reasons and the documentation test are made from it.
 */
#ifndef RP_COUNTERS_H
#define RP_COUNTERS_H

#include <stdint.h>

#include "rp_histogram.h"

/* clang-format off */
#define RP_COUNTER_LIST(X)                                                    \
    /* Link format and inner packet, at balancers and agents. */              \
    X(PACKETS_IN, "packets_in", "datagrams received")                         \
    X(PACKETS_OUT, "packets_out", "datagrams sent")                           \
    X(SEND_FAILED, "send_failed", "datagrams the kernel did not take")        \
    X(PEER_UNREACHABLE, "peer_unreachable", "peers that could not be reached")       \
    X(DROP_SHORT, "drop_short", "datagram too short for its headers")         \
    X(DROP_OVERSIZED, "drop_oversized", "datagram over the size limit")       \
    X(DROP_BAD_GENEVE, "drop_bad_geneve", "Geneve header not readable")       \
    X(DROP_BAD_OPTION, "drop_bad_option", "Geneve option not readable")       \
    X(DROP_BAD_IP, "drop_bad_ip", "inner IPv4 header not readable")           \
    X(DROP_FRAGMENT, "drop_fragment", "inner packet is a fragment")           \
    X(DROP_BAD_TRANSPORT, "drop_bad_transport", "not TCP, or bad TCP header") \
    X(DROP_UNKNOWN_ADDRESS, "drop_unknown_address", "no service there")       \
    X(DROP_NO_TABLE, "drop_no_table", "no table received yet")                \
    X(DROP_NO_MEMBER, "drop_no_member", "service has no upstream for it")     \
    X(DROP_WRONG_SERVICE, "drop_wrong_service", "meant for another service")  \
    X(DROP_LATE, "drop_late_segment", "segment of an earlier flow")           \
    X(DROP_HOST_STRAY, "drop_host_stray", "host packet of no known flow")     \
    X(DROP_HOLD_FULL, "drop_hold_full", "no room to hold the packet")         \
    /* Balancer. */                                                           \
    X(ROUTED, "routed", "packets sent to an agent")                           \
    X(RESET_NO_MEMBER, "reset_no_member", "new flows refused by a balancer")  \
    /* New flows at an agent. */                                              \
    X(FLOW_ADMITTED, "flow_admitted", "new flows taken")                      \
    X(FLOW_ADMITTED_LAST, "flow_admitted_last", "taken as last candidate")    \
    X(PASS_BUSY, "pass_busy", "new flows passed on: slots busy")              \
    X(PASS_BACK, "pass_back", "new flows sent back to the least busy")        \
    X(PASS_DRAINING, "pass_draining", "new flows passed on: leaving")         \
    X(PASS_FLOW_LIMIT, "pass_flow_limit", "new flows passed on: flow limit")  \
    X(PASS_UNHEALTHY, "pass_unhealthy", "new flows passed on: host is ill")   \
    X(RETRY_HOST_REFUSED, "retry_host_refused", "retried: host refused")      \
    X(RETRY_HOST_SILENT, "retry_host_silent", "retried: host did not answer") \
    X(RETRY_BUDGET_SPENT, "retry_budget_spent", "not retried: budget spent")  \
    X(REFUSED_BUSY, "refused_busy", "new flows refused: too much work")       \
    X(REFUSED_ALL, "refused_all", "new flows refused: nobody could take it")  \
    X(SYN_TRIMMED, "syn_payload_trimmed", "payload cut from a SYN")           \
    X(SYN_LATE_ANSWER, "syn_late_answer", "host answer after a retry")        \
    /* Open flows at an agent. */                                             \
    X(FLOW_PASSED, "flow_packet_passed", "packets of others' flows")          \
    X(REQUEST_HELD, "request_held", "requests that waited at the gate")       \
    X(PASS_SIBLING, "pass_sibling", "packets passed to a sibling service")    \
    X(FLOW_CLOSED, "flow_closed", "flows closed by their ends")               \
    X(FLOW_ASKED, "flow_asked", "unknown flows asked of the host")            \
    X(FLOW_RELEARNED, "flow_relearned", "flows found to be the host's")       \
    X(FLOW_NOT_HOSTS, "flow_not_hosts", "flows the host did not know")        \
    X(FLOW_YIELDED, "flow_yielded", "half-open flows left to another")        \
    X(FLOW_EXPIRED, "flow_expired", "entries dropped after their deadline")   \
    X(DROP_NO_OWNER, "drop_no_owner", "no owner found yet, tables may lag")   \
    X(RESET_OWNER_GONE, "reset_owner_gone", "flows reset: no owner left")     \
    X(RESET_HOST_LOST, "reset_host_lost", "flows reset: the host lost them")  \
    X(HOST_GAVE_BACK, "host_gave_back", "packets that the host gave back")    \
    X(PASS_HOST_UNKNOWN, "pass_host_unknown", "passed on: host not heard")    \
    X(DROP_WRONG_SIDE, "drop_wrong_side", "packet that this side never gets") \
    X(PROBE_SENT, "probe_sent", "probes of silent flows")                     \
    X(RESET_SILENT_HOST, "reset_silent_host", "flows reset: host silent")     \
    X(RESET_SILENT_CALLER, "reset_silent_caller", "reset: caller silent")     \
    /* Between processes. */                                                  \
    X(FRAMES_IN, "frames_in", "frames received")                              \
    X(FRAMES_OUT, "frames_out", "frames sent")                                \
    X(FRAME_OVER_LIMIT, "frame_over_limit", "frame over the size limit")      \
    X(FRAME_BAD_MAC, "frame_bad_mac", "frame failed authentication")          \
    X(FRAME_BAD_BODY, "frame_bad_body", "frame could not be decoded")         \
    X(FRAME_UNEXPECTED, "frame_unexpected", "message not allowed there")      \
    X(PEER_TIMEOUT, "peer_timeout", "peers that did not say hello")           \
    X(PEER_TOO_SLOW, "peer_too_slow", "peers whose queue overflowed")         \
    X(PEER_LIMIT, "peer_limit", "connections over the limit")                 \
    X(NODE_SENT_ON, "node_sent_on", "nodes sent on: no log here yet")         \
    X(PEERS_ACCEPTED, "peers_accepted", "peers that authenticated")           \
    /* Control. */                                                            \
    X(CHANGE_APPLIED, "change_applied", "changes accepted")                   \
    X(CHANGE_REPEATED, "change_repeated", "resent changes answered again")    \
    X(CHANGE_BAD_DOCUMENT, "change_bad_document", "refused: bad document")    \
    X(CHANGE_CONFLICT, "change_conflict", "refused: stale base revision")     \
    X(CHANGE_NOT_FOUND, "change_not_found", "refused: no such service")       \
    X(CHANGE_NO_LEADER, "change_no_leader", "refused: no quorum now")         \
    X(CHANGE_TIMEOUT, "change_timeout", "changes not decided in time")        \
    X(ANNOUNCE_ACCEPTED, "announce_accepted", "announcements taken")          \
    X(ANNOUNCE_STALE, "announce_stale", "announcements older than known")     \
    X(LEASE_EXPIRED, "lease_expired", "upstreams whose lease ran out")        \
    X(TABLE_SENT, "table_sent", "table updates sent")                         \
    X(TABLE_WITHHELD, "table_withheld", "first tables held back: not fresh")  \
    X(TABLE_APPLIED, "table_applied", "table updates taken")                  \
    X(TABLE_STALE, "table_stale", "table updates refused: older")             \
    /* Logs. */                                                               \
    X(LOG_LINES_LOST, "log_lines_lost", "log lines lost: nobody reads them")
/* clang-format on */

enum rp_counter {
#define RP_COUNTER_ENUM(symbol, name, help) RP_COUNT_##symbol,
    RP_COUNTER_LIST(RP_COUNTER_ENUM)
#undef RP_COUNTER_ENUM
        RP_COUNTER_COUNT
};

/* Everything that a process counts. */
struct rp_counters {
    uint64_t value[RP_COUNTER_COUNT];
    struct rp_histograms histograms;
};

/* Adds a duration in microseconds to a histogram. */
static inline void
RpCounters_Time(struct rp_counters *counters, enum rp_histogram_id id,
                int64_t duration_us)
{
    RpHistogram_Add(&counters->histograms.item[id], duration_us);
}

/* Adds one. */
static inline void
RpCounters_Add(struct rp_counters *counters, enum rp_counter counter)
{
    counters->value[counter]++;
}

/* The name as it stands in logs and on the admin page. */
const char *RpCounter_Name(enum rp_counter counter);

/* One line of explanation. */
const char *RpCounter_Help(enum rp_counter counter);

#endif
