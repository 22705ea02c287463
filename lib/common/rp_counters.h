/* The counters of a process: one for each reason for which something is
 * dropped, refused or retried, and one for each normal outcome.
 *
 * The list below is the only definition of the counters. The admin page, the
 * reasons in logs and docs/COUNTERS.md are made from it. X(symbol, name, help)
 * gives the enum constant RP_COUNT_<symbol>, the name in logs and metrics, and
 * a line of explanation.
 */
#ifndef RP_COUNTERS_H
#define RP_COUNTERS_H

#include <stdint.h>

#include "rp_histogram.h"

/* clang-format off */
#define RP_COUNTER_LIST(X)                                                    \
    /* Datagrams and inner packets, at balancers and agents. */               \
    X(PACKETS_IN, "packets_in", "datagrams received")                         \
    X(PACKETS_OUT, "packets_out", "datagrams sent")                           \
    X(SEND_FAILED, "send_failed", "datagrams that the kernel failed to send") \
    X(PEER_UNREACHABLE, "peer_unreachable",                                   \
      "failed connects, and datagrams refused by the peer")                   \
    X(DROP_SHORT, "drop_short", "dropped: datagram shorter than its headers") \
    X(DROP_OVERSIZED, "drop_oversized",                                       \
      "dropped: datagram over the size limit")                                \
    X(DROP_BAD_GENEVE, "drop_bad_geneve", "dropped: invalid Geneve header")   \
    X(DROP_BAD_OPTION, "drop_bad_option",                                     \
      "dropped: invalid or unknown critical Geneve option")                   \
    X(DROP_BAD_IP, "drop_bad_ip", "dropped: invalid inner IPv4 header")       \
    X(DROP_FRAGMENT, "drop_fragment", "dropped: inner packet is a fragment")  \
    X(DROP_BAD_TRANSPORT, "drop_bad_transport",                               \
      "dropped: not TCP, or invalid transport header")                        \
    X(DROP_UNKNOWN_ADDRESS, "drop_unknown_address",                           \
      "dropped: no service at the destination address")                       \
    X(DROP_NO_TABLE, "drop_no_table",                                         \
      "dropped: no service table received yet")                               \
    X(DROP_NO_MEMBER, "drop_no_member",                                       \
      "dropped: service has no usable upstream")                              \
    X(DROP_WRONG_SERVICE, "drop_wrong_service",                               \
      "dropped: packet is for another service")                               \
    X(DROP_LATE, "drop_late_segment", "dropped: segment of an earlier flow")  \
    X(DROP_HOST_STRAY, "drop_host_stray",                                     \
      "dropped: host packet that matches no known flow")                      \
    X(DROP_HOLD_FULL, "drop_hold_full",                                       \
      "dropped: no room to hold the packet")                                  \
    /* Balancer. */                                                           \
    X(ROUTED, "routed", "packets sent to an agent")                           \
    X(PACKET_WAITED, "packet_waited",                                         \
      "packets that waited for a table or for members")                       \
    X(DROP_WAITED_TOO_LONG, "drop_waited_too_long",                           \
      "dropped: no table or members before the deadline")                     \
    X(DROP_WAITING_FULL, "drop_waiting_full",                                 \
      "dropped: too many newer packets wait for a table")                     \
    X(RESET_LINK_FULL, "reset_link_full",                                     \
      "new flows reset by a balancer: no room on its link in time")           \
    X(EGRESS_WAITED, "egress_waited",                                         \
      "packets that waited for room on the outgoing link")                    \
    X(LINK_BYTES_PACKETS, "link_bytes_packets",                               \
      "bytes of callers' packets given to a link of known rate")        \
    X(LINK_BYTES_HEADERS, "link_bytes_headers",                               \
      "bytes of Geneve and frame headers around these packets")               \
    X(DROP_EGRESS_COPY, "drop_egress_copy",                                   \
      "dropped: an earlier copy of the packet still waits for the link")      \
    X(DROP_EGRESS_LATE, "drop_egress_late",                                   \
      "dropped: waited for the link for longer than it is of use")            \
    X(DROP_EGRESS_RESET, "drop_egress_reset",                                 \
      "dropped: its caller reset the flow while it waited for the link")      \
    X(DROP_EGRESS_FULL, "drop_egress_full",                                   \
      "dropped: too much waits for the outgoing link")                        \
    X(HINT_STORED, "hint_stored", "hints about owners of flows stored")       \
    X(HINT_FOLLOWED, "hint_followed",                                         \
      "packets sent to the owner that a hint names")                          \
    X(ROUTED_BY_LOAD, "routed_by_load",                                       \
      "new flows sent to another upstream than ranked first, for its load")   \
    X(ROUTED_ABROAD, "routed_abroad",                                         \
      "new flows sent to another zone for the load of the own one")           \
    X(LOAD_NOTE_STORED, "load_note_stored",                                   \
      "notes about the loads of hosts stored")                                \
    X(LOAD_NOTE_DROPPED, "load_note_dropped",                                 \
      "notes about the loads of hosts dropped: not asked for, or no room")    \
    X(RESET_NO_MEMBER, "reset_no_member",                                     \
      "new flows reset by a balancer: no upstream is ready")                  \
    X(REFUSED_EVACUATED, "refused_evacuated",                                 \
      "new flows refused by a balancer: all ready upstreams are evacuated")   \
    /* New flows at an agent. */                                              \
    X(LOAD_NOTE_SENT, "load_note_sent",                                       \
      "notes to balancers about the load of this agent's host")               \
    X(FLOW_ADMITTED, "flow_admitted", "new flows admitted")                   \
    X(FLOW_ADMITTED_LAST, "flow_admitted_last",                               \
      "new flows admitted although busy: no better candidate")                \
    X(PASS_BUSY, "pass_busy", "new flows passed on: all slots busy")          \
    X(PASS_BACK, "pass_back",                                                 \
      "new flows sent back to the least busy candidate")                      \
    X(PASS_DRAINING, "pass_draining",                                         \
      "new flows passed on: upstream is draining or stopped")                 \
    X(PASS_EVACUATED, "pass_evacuated",                                       \
      "new flows passed on: the agent's data centre is evacuated")            \
    X(HOP_EVACUATED, "hop_evacuated",                                         \
      "candidates of new flows left out: data centre is evacuated")           \
    X(PASS_FLOW_LIMIT, "pass_flow_limit",                                     \
      "new flows passed on: flow limit reached")                              \
    X(PASS_UNHEALTHY, "pass_unhealthy",                                       \
      "new flows passed on: host is unhealthy")                               \
    X(REQUEST_RESET, "request_reset",                                         \
      "requests that the host ended with a reset instead of an answer")       \
    X(REQUEST_ABANDONED, "request_abandoned",                                 \
      "requests that callers gave up after the target latency, unanswered")   \
    X(PASS_COLD, "pass_cold",                                                 \
      "new flows passed on: host is cold and at its limit")                   \
    X(RETRY_HOST_REFUSED, "retry_host_refused",                               \
      "new flows retried elsewhere: host refused")                            \
    X(RETRY_HOST_SILENT, "retry_host_silent",                                 \
      "new flows retried elsewhere: host did not answer")                     \
    X(RETRY_BUDGET_SPENT, "retry_budget_spent",                               \
      "new flows not retried: retry budget is used up")                       \
    X(REFUSED_BUSY, "refused_busy",                                           \
      "new flows refused: all candidates are overloaded")                     \
    X(REFUSED_ALL, "refused_all",                                             \
      "new flows refused: no candidate could take them")                      \
    X(REFUSED_COLD, "refused_cold",                                           \
      "new flows refused: the last candidate is cold and at its limit")     \
    X(DROP_COLD, "drop_cold",                                                 \
      "dropped: SYN of a known flow, host is cold and at its limit")          \
    X(SYN_TRIMMED, "syn_payload_trimmed", "SYNs whose payload was removed")   \
    X(SYN_LATE_ANSWER, "syn_late_answer",                                     \
      "host answers to a SYN that was already retried")                       \
    /* Open flows at an agent. */                                             \
    X(FLOW_PASSED, "flow_packet_passed",                                      \
      "packets of flows of other agents, passed on")                          \
    X(REQUEST_HELD, "request_held",                                           \
      "requests that waited in the request queue")                            \
    X(PASS_SIBLING, "pass_sibling",                                           \
      "packets passed to another service of the same address")                \
    X(FLOW_CLOSED, "flow_closed", "flows closed or reset")                    \
    X(FLOW_ASKED, "flow_asked",                                               \
      "unknown flows that the host was asked about")                          \
    X(FLOW_CHECKED, "flow_checked",                                           \
      "open flows that the host was asked about after its restart")           \
    X(FLOW_RELEARNED, "flow_relearned", "unknown flows that the host has")    \
    X(FLOW_NOT_HOSTS, "flow_not_hosts",                                       \
      "unknown flows that the host does not have")                            \
    X(FLOW_YIELDED, "flow_yielded", "half-open flows left to another agent")  \
    X(FLOW_EXPIRED, "flow_expired",                                           \
      "flow entries removed after their deadline")                            \
    X(DROP_NO_OWNER, "drop_no_owner",                                         \
      "dropped: owner not found yet, tables may be stale")                    \
    X(RESET_OWNER_GONE, "reset_owner_gone",                                   \
      "flows reset: no agent owns them any more")                             \
    X(RESET_OWNER_UNREACHABLE, "reset_owner_unreachable",                     \
      "requests refused: no agent known yet owns their flow")                 \
    X(HINT_SENT, "hint_sent",                                                 \
      "hints to balancers that this agent owns a flow")                       \
    X(OWNER_SEARCHED, "owner_searched",                                       \
      "searches for the owner of a flow, one for each service asked")         \
    X(SEARCH_ANSWERED, "search_answered",                                     \
      "searches of other agents that this agent answered")                    \
    X(RESET_HOST_LOST, "reset_host_lost",                                     \
      "flows reset: the host no longer has them")                             \
    X(HOST_GAVE_BACK, "host_gave_back", "packets that the host returned")     \
    X(REPORT_LATE, "report_late",                                             \
      "host reports ignored: older than the latest one")                      \
    X(REPORT_FOREIGN, "report_foreign",                                       \
      "host reports refused: of another service or address")                  \
    X(REPORT_UNREADABLE, "report_unreadable",                                 \
      "host reports refused: members missing or invalid")                     \
    X(PASS_HOST_UNKNOWN, "pass_host_unknown",                                 \
      "new flows passed on: no recent report of the host")                    \
    X(DROP_WRONG_SIDE, "drop_wrong_side",                                     \
      "dropped: packet not valid from this side")                             \
    X(PROBE_SENT, "probe_sent", "probes sent to the ends of silent flows")    \
    X(RESET_SILENT_HOST, "reset_silent_host",                                 \
      "flows reset: host did not answer the probe")                           \
    X(RESET_SILENT_CALLER, "reset_silent_caller",                             \
      "flows reset: caller did not answer the probe")                         \
    /* Connections between processes. */                                      \
    X(FRAMES_IN, "frames_in", "frames received from other processes")         \
    X(FRAMES_OUT, "frames_out", "frames sent to other processes")             \
    X(FRAME_OVER_LIMIT, "frame_over_limit",                                   \
      "connections closed: frame length out of range")                        \
    X(FRAME_BAD_MAC, "frame_bad_mac",                                         \
      "connections closed: frame failed authentication")                      \
    X(FRAME_BAD_BODY, "frame_bad_body",                                       \
      "connections closed: frame could not be decoded")                       \
    X(FRAME_UNEXPECTED, "frame_unexpected",                                   \
      "messages not allowed from this peer at this point")                    \
    X(PEER_REFUSED, "peer_refused",                                           \
      "failed connects: refused, nothing listens there")                      \
    X(PEER_CONNECT_FAILED, "peer_connect_failed",                             \
      "failed connects: other errors, such as no free descriptor here")       \
    X(PEER_ENDED, "peer_ended", "connections ended by the other end")         \
    X(PEER_RESET, "peer_reset", "connections reset by the other end")         \
    X(PEER_FAILED, "peer_failed",                                             \
      "connections closed: other errors of reads and writes")                 \
    X(PEER_CLOSED_HERE, "peer_closed_here",                                   \
      "connections closed by this process, in order")                         \
    X(PEER_TIMEOUT, "peer_timeout",                                           \
      "connections closed: peer was silent for too long")                     \
    X(PEER_TOO_SLOW, "peer_too_slow",                                         \
      "connections closed: output queue overflowed")                          \
    X(PEER_LIMIT, "peer_limit", "connections refused: too many connections")  \
    X(NODE_SENT_ON, "node_sent_on",                                           \
      "nodes disconnected: this replica has no log yet")                      \
    X(NODE_HINTED, "node_hinted",                                             \
      "nodes and replicas told the replicas' addresses by a relay")           \
    X(PEERS_ACCEPTED, "peers_accepted", "peers authenticated")                \
    /* The operator's reads and writes of editions. */                        \
    X(EDITION_READ, "edition_read", "reads answered with the edition")        \
    X(EDITION_NONE, "edition_none", "reads refused: no edition stored yet")   \
    X(EDITION_REDIRECTED, "edition_redirected",                               \
      "reads and writes redirected to another control instance")              \
    X(EDITION_TIMEOUT, "edition_timeout",                                     \
      "reads and writes that no majority confirmed in time")                  \
    X(EDITION_LEAD_LOST, "edition_lead_lost",                                 \
      "reads and writes during which this replica lost the lead")             \
    X(ACCEPT_ABORTED, "accept_aborted",                                       \
      "connections that failed before they were accepted")                    \
    X(ACCEPT_NO_DESCRIPTOR, "accept_no_descriptor",                           \
      "pauses of accepting: no descriptor is free")                           \
    X(ACCEPT_NO_MEMORY, "accept_no_memory",                                   \
      "pauses of accepting: no memory for a connection")                      \
    X(ACCEPT_ALL_BUSY, "accept_all_busy",                                     \
      "pauses of accepting: no connection can give way to a new one")         \
    X(ACCEPT_BROKEN, "accept_broken",                                         \
      "listening sockets given up for another error, and opened again")       \
    X(REPLICA_UNREACHED, "replica_unreached",                                 \
      "messages to replicas dropped: no connection to the replica")           \
    X(CALLER_IDLE, "caller_idle",                                             \
      "HTTP connections closed: no request for too long")                     \
    X(CALLER_GAVE_WAY, "caller_gave_way",                                     \
      "HTTP connections closed: idle while new callers wait")                 \
    X(CALLER_STALLED, "caller_stalled",                                       \
      "HTTP connections closed: request or answer stuck half way")            \
    /* Control replicas. */                                                   \
    X(CHANGE_APPLIED, "change_applied", "changes applied")                    \
    X(CHANGE_REPEATED, "change_repeated",                                     \
      "repeated changes, answered as before")                                 \
    X(CHANGE_BAD_DOCUMENT, "change_bad_document",                             \
      "changes refused: invalid document")                                    \
    X(CHANGE_CONFLICT, "change_conflict",                                     \
      "changes refused: stale base revision")                                 \
    X(CHANGE_NOT_FOUND, "change_not_found",                                   \
      "changes refused: no such service")                                     \
    X(CHANGE_NO_LEADER, "change_no_leader",                                   \
      "changes refused: no leader with a quorum")                             \
    X(CHANGE_NOT_CONNECTED, "change_not_connected",                           \
      "operator's requests refused: not connected to any replica")            \
    X(CHANGE_TIMEOUT, "change_timeout",                                       \
      "changes with unknown outcome: not committed in time")                  \
    X(ZONE_EVACUATED, "zone_evacuated", "data centres evacuated")             \
    X(ZONE_RESTORED, "zone_restored",                                         \
      "evacuations of data centres ended")                                    \
    X(ZONE_UNCHANGED, "zone_unchanged",                                       \
      "orders for data centres that were in that state already")              \
    X(ZONE_UNKNOWN, "zone_unknown",                                           \
      "orders refused: no such data centre")                                  \
    X(ZONE_BAD_ORDER, "zone_bad_order",                                       \
      "orders for data centres refused: bad name, or a body")                 \
    X(ANNOUNCE_ACCEPTED, "announce_accepted", "announcements accepted")       \
    X(ANNOUNCE_STALE, "announce_stale",                                       \
      "announcements ignored: stale or refused")                              \
    X(ANNOUNCE_UNHEARD, "announce_unheard",                                   \
      "announcements ignored: agent without a host of an unknown upstream")   \
    X(LEASE_EXPIRED, "lease_expired", "upstreams whose lease expired")        \
    X(TABLE_SENT, "table_sent", "tables and table updates sent")              \
    X(TABLE_WITHHELD, "table_withheld",                                       \
      "first tables withheld: this replica may be stale")                     \
    X(TABLE_APPLIED, "table_applied", "table updates applied")                \
    X(TABLE_STALE, "table_stale",                                             \
      "table updates refused: older than the current table")                  \
    /* Logs. */                                                               \
    X(LOG_LINES_LOST, "log_lines_lost",                                       \
      "log lines lost: output blocked, or line too long")
/* clang-format on */

enum rp_counter {
#define RP_COUNTER_ENUM(symbol, name, help) RP_COUNT_##symbol,
    RP_COUNTER_LIST(RP_COUNTER_ENUM)
#undef RP_COUNTER_ENUM
        RP_COUNTER_COUNT
};

/* All counters and histograms of a process. */
struct rp_counters {
    uint64_t value[RP_COUNTER_COUNT];
    struct rp_histograms histograms;
};

/* Adds a duration in microseconds to the histogram `id`. */
static inline void
RpCounters_AddDuration(struct rp_counters *counters, enum rp_histogram_id id,
                       int64_t duration_us)
{
    RpHistogram_Add(&counters->histograms.item[id], duration_us);
}

/* Increments a counter. */
static inline void
RpCounters_Add(struct rp_counters *counters, enum rp_counter counter)
{
    counters->value[counter]++;
}

/* Returns the name of a counter in logs and metrics. */
const char *RpCounter_Name(enum rp_counter counter);

/* Returns one line that explains a counter. */
const char *RpCounter_Help(enum rp_counter counter);

#endif
