/* The agent's struct and the functions that the rp_agent_*.c files share. */
#ifndef RP_AGENT_INTERNAL_H
#define RP_AGENT_INTERNAL_H

#include <glib.h>

#include "rp_agent.h"
#include "rp_flow_chart.h"
#include "rp_flow_table.h"
#include "rp_request_queue.h"
#include "rp_cold_start.h"
#include "rp_health.h"
#include "rp_hold.h"
#include "rp_load_average.h"
#include "rp_owner_search.h"
#include "rp_time.h"
#include "rp_service_time.h"

/* Time that a host has to answer a SYN before the next candidate is tried. */
#define RP_HOST_ANSWER_TIMEOUT_US (250 * RP_US_PER_MS)
/* How long the entry of an idle flow is kept in formats in which its ends
 * cannot be probed. If a flow continues after that, the agent learns it again
 * from its host. */
#define RP_IDLE_FLOW_TIMEOUT_US (120 * RP_US_PER_SECOND)
/* How long a slot is reserved for the first request of a new flow. */
#define RP_RESERVATION_TIMEOUT_US RP_HOST_ANSWER_TIMEOUT_US
/* Longest time for which copies of a SYN can be in the network. An agent that
 * has run longer has seen the start of every flow whose SYN still arrives. */
#define RP_SYN_LIFETIME_US (120 * RP_US_PER_SECOND)
/* How long packets of a flow without a known owner are dropped before its
 * caller is reset. A change takes up to 7 s to reach every table, and until
 * then the owner may still be found. */
#define RP_OWNER_SEARCH_TIMEOUT_US (10 * RP_US_PER_SECOND)
/* How long the caller may take to acknowledge a SYN-ACK. */
#define RP_HANDSHAKE_TIMEOUT_US (60 * RP_US_PER_SECOND)
/* How long the entry of a closed flow and of an unused redirect is kept. */
#define RP_CLOSED_FLOW_TIMEOUT_US (60 * RP_US_PER_SECOND)
#define RP_REDIRECT_TIMEOUT_US (120 * RP_US_PER_SECOND)
/* A request whose answer takes this long marks its flow as one with long
 * requests, which may occupy only some of the slots. */
#define RP_LONG_REQUEST_US (200 * RP_US_PER_MS)
/* Entries in any state. Bounds the memory that a SYN flood can take. */
#define RP_AGENT_MAX_ENTRIES 1000000
/* How often a balancer is told the load of the host while it sends new flows:
 * at most, and at least, for what was told ages there. A change by less than
 * RP_LOAD_STEP makes no difference to the balancer's choice. */
#define RP_LOAD_NOTE_MIN_US (100 * RP_US_PER_MS)
#define RP_LOAD_NOTE_MAX_US (1 * RP_US_PER_SECOND)
#define RP_LOAD_STEP (RP_LOAD_UNIT / 16)
/* Balancers of which it is known what they were told; others are told again.
 */
#define RP_TOLD_BALANCERS 64
/* Largest retry budget, in hundredths of a retry. */
#define RP_RETRY_BUDGET_MAX_CENTS 2000

/* After a restart of the host, it is asked about this many flows at once, and
 * about the next ones after the pause: more might overflow its socket. */
#define RP_CHECKS_PER_BATCH 32
#define RP_CHECK_PAUSE_US (5 * RP_US_PER_MS)

/* A timer in a FIFO queue. All timers of a queue have the same duration, so
 * they are in the order of their deadlines. */
struct rp_flow_timer {
    struct rp_flow_key caller;
    int64_t deadline;
};

/* The load that a balancer was told last. Port 0: the entry is free. */
struct rp_told_load {
    struct rp_endpoint balancer;
    int64_t at;
    uint8_t utilisation;
};

/* An agent. The queues and the counts below mirror the entries of `flows`. */
struct rp_agent {
    struct rp_agent_config config;
    const struct rp_chart *chart;
    struct rp_admission *policy;
    struct rp_counters *counters;
    const struct rp_table *table;
    const struct rp_service *service;
    bool draining;
    bool knows_all_flows; /* `flows` has every flow of the host */
    enum rp_host_state host_state;
    int64_t host_heard_at;   /* time of the host's last packet or report */
    GArray *lost_flows;      /* of struct rp_flow_key: lost by the host */
    GArray *unchecked_flows; /* the same: the host may have lost them */
    int64_t next_check;      /* when the host may be asked about the next */
    guint checks_in_batch;
    struct rp_health health;         /* by handshakes */
    struct rp_health request_health; /* by requests */
    struct rp_cold_start cold;
    struct rp_flow_table *flows;
    struct rp_hold *hold;
    /* The first packet that the host got of each flow that it has. */
    struct rp_hold *first_packets;
    /* The packet that the actions of the last call point into, or NULL. */
    struct rp_held_packet *action_packet;
    struct rp_request_queue *request_queue;
    /* Packets of queued requests: caller -> GQueue of rp_held_packet. */
    GHashTable *queued_packets;
    size_t queued_bytes;     /* of the packets in `queued_packets` */
    GQueue released_packets; /* of rp_held_packet, to send to the host */
    GQueue short_timers;     /* of struct rp_flow_timer: state deadlines */
    GQueue reservations;     /* of struct rp_flow_timer: reserved slots */
    uint32_t owned_flows;    /* flows with RP_FLOW_OWNED */
    uint32_t busy_flows;     /* flows with RP_FLOW_BUSY */
    struct rp_load_average load_average; /* of the host's slots */
    struct rp_told_load told[RP_TOLD_BALANCERS];
    struct rp_service_time service_time; /* of the host's requests */
    int32_t retry_budget_cents; /* retry budget, in hundredths of a retry */
    int64_t next_scan;          /* when the flow table is scanned next */
    struct rp_owner_search *searches;
    GArray *search_targets;   /* of struct rp_endpoint, for the last actions */
    uint64_t table_additions; /* at the last update of the table */
    uint64_t table_revision;
    int64_t table_changed_at; /* when one of these changed last */
    bool control_connected;
};

/* Starts a call: empties `actions` and frees the packet that the actions of
 * the previous call pointed into. */
void RpAgent_BeginCall(struct rp_agent *agent, struct rp_actions *actions);

/* Removes the flow's kept packet from the hold, or returns NULL. The agent
 * owns the packet until the next call, so actions may point into it. */
const struct rp_held_packet *
RpAgent_TakeHeldPacket(struct rp_agent *agent, const struct rp_flow *flow);

/* Adds an action, counts its reason and returns the action, whose other
 * members the caller of this function sets. */
struct rp_action *RpAgent_AddAction(struct rp_agent *agent,
                                    struct rp_actions *actions,
                                    enum rp_action_kind kind,
                                    enum rp_counter reason);

/* Adds an action that sends `len` bytes at `data`. */
void RpAgent_AddSendAction(struct rp_agent *agent, struct rp_actions *actions,
                           enum rp_action_kind kind, enum rp_counter reason,
                           const uint8_t *data, size_t len);

/* Adds an action that sends a segment without payload, with the source and
 * destination of `key`. */
void RpAgent_AddSegmentAction(struct rp_agent *agent,
                              struct rp_actions *actions,
                              enum rp_action_kind kind, enum rp_counter reason,
                              struct rp_flow_key key, uint8_t flags,
                              uint32_t seq, uint32_t ack);

/* Whether the agent can make segments in the name of a flow's ends. */
static inline bool
RpAgent_CanMakeSegments(const struct rp_agent *agent)
{
    return agent->config.codec->ops->make_segment != NULL;
}

/* Whether the host has certainly accepted the caller's end of the flow. While
 * its SYN-ACK is not acknowledged, another host may have answered, too, and a
 * flow that is presumed may be another host's. */
static inline bool
RpAgent_IsCertainOwner(uint8_t state)
{
    return state == RP_FLOW_ESTABLISHED || state == RP_FLOW_CALLER_CLOSED ||
           state == RP_FLOW_HOST_CLOSED;
}

/* Keeps a packet that the host got of a flow that it has, unless an earlier
 * one is kept. */
void RpAgent_KeepFirstPacket(struct rp_agent *agent,
                             const struct rp_flow *flow, const uint8_t *data,
                             size_t len);

/* Closes a flow that its host has lost and resets its caller. */
void RpAgent_ResetLostFlow(struct rp_agent *agent, int64_t now,
                           struct rp_flow *flow, struct rp_actions *actions);

/* Answers a caller's packet with a reset. */
void RpAgent_ResetCaller(struct rp_agent *agent, struct rp_actions *actions,
                         enum rp_counter reason,
                         const struct rp_packet *packet);

/* Sets the state of a flow, its deadline and the counts of owned and busy
 * flows. */
void RpAgent_EnterState(struct rp_agent *agent, struct rp_flow *flow,
                        uint8_t state, int64_t now);

/* Whether the deadline of a state is in `short_timers`. Other deadlines are
 * found by scanning the flow table. */
bool RpAgent_HasShortTimer(uint8_t state);

/* Removes a flow's entry, its kept packet and its part in the counts. */
void RpAgent_RemoveFlow(struct rp_agent *agent, struct rp_flow *flow);

/* Sets whether a flow has an outstanding request and so occupies a slot. */
void RpAgent_SetBusy(struct rp_agent *agent, struct rp_flow *flow, bool busy);

/* Reserves a slot for RP_RESERVATION_TIMEOUT_US for the first request of a new
 * flow. */
void RpAgent_ReserveSlot(struct rp_agent *agent, struct rp_flow *flow,
                         int64_t now);

/* Fills in the load that an admission policy decides by. `address` is the
 * address that the caller connects to. */
void RpAgent_FillLoad(const struct rp_agent *agent, int64_t now,
                      struct rp_endpoint address, const struct rp_chain *chain,
                      struct rp_load *load);

/* Update the sequence numbers and times of a flow from one packet.
 * RpAgent_TrackCaller returns whether the packet begins a request. */
bool RpAgent_TrackCaller(struct rp_agent *agent, struct rp_flow *flow,
                         const struct rp_packet *packet, int64_t now);
void RpAgent_TrackHost(struct rp_agent *agent, struct rp_flow *flow,
                       const struct rp_packet *packet, int64_t now);

/* rp_agent_classify.c: the chart event of a packet for its flow. `forced`
 * says that a SYN was sent back to this agent. */
enum rp_flow_event RpAgent_ClassifyCaller(const struct rp_flow *flow,
                                          const struct rp_packet *packet,
                                          bool forced);
enum rp_flow_event RpAgent_ClassifyHost(const struct rp_packet *packet);

/* Whether a host's reset answers a segment of another host's connection that
 * this agent sent to it, and not the connection that the host has itself. */
bool RpAgent_IsForeignReset(const struct rp_flow *flow,
                            const struct rp_packet *packet);

/* Whether a host that was queried about a flow answers with a SYN-ACK that the
 * caller has not acknowledged: the host has a half-open connection from a SYN
 * that it answers late, and the caller has connected to another host. */
bool RpAgent_IsForeignSynAck(const struct rp_flow *flow,
                             const struct rp_packet *packet);

/* Whether a host's packet belongs to an earlier flow with the same addresses
 * and ports: it acknowledges bytes that the caller has not sent on this one.
 */
bool RpAgent_IsLateHostPacket(const struct rp_flow *flow,
                              const struct rp_packet *packet);

/* rp_agent_evidence.c: record a request that the host ended with a reset, or
 * that its caller gave up after a long wait, before the answer began. Call
 * them before the flow's state changes. */
void RpAgent_RecordRequestReset(struct rp_agent *agent,
                                const struct rp_flow *flow, int64_t now);
void RpAgent_RecordRequestAbandoned(struct rp_agent *agent,
                                    const struct rp_flow *flow, int64_t now);

/* rp_agent_chain.c: advances `chain` to the next candidate and sets `*next`.
 * `is_new_flow` says whether the packet opens a flow, as only ready upstreams
 * take new flows. Returns false if no candidate is left. */
bool RpAgent_NextHop(const struct rp_agent *agent, struct rp_chain *chain,
                     struct rp_flow_key caller, bool is_new_flow,
                     struct rp_endpoint *next);

/* Returns whether the table lists this agent in an evacuated data centre. It
 * gets no new flows then. */
bool RpAgent_IsEvacuatedHop(const struct rp_agent *agent,
                            struct rp_endpoint endpoint);

/* As RpAgent_NextHop, but chooses `preferred` if it has not had the packet
 * yet and may take it. */
bool RpAgent_PreferredNextHop(const struct rp_agent *agent,
                              struct rp_chain *chain,
                              struct rp_flow_key caller, bool is_new_flow,
                              struct rp_endpoint preferred,
                              struct rp_endpoint *next);

/* rp_agent_open.c: handles a SYN that opens a flow: admits the flow, forwards
 * the SYN to the next candidate or refuses the flow. `flow` is an earlier
 * entry with the same addresses and ports, or NULL. */
void RpAgent_DecideAdmission(struct rp_agent *agent, int64_t now,
                             struct rp_flow *flow,
                             const struct rp_packet *packet,
                             const struct rp_chain *chain,
                             struct rp_actions *actions);

/* Sends the host a new SYN of a flow whose earlier SYN it has not answered, or
 * forwards it if the data centre is evacuated. */
void RpAgent_RestartFlow(struct rp_agent *agent, int64_t now,
                         struct rp_flow *flow, const struct rp_packet *packet,
                         const struct rp_chain *chain,
                         struct rp_actions *actions);

/* Forwards the kept SYN of a flow to the next candidate after the host
 * refused it (`refusal` is the host's packet) or did not answer it in time
 * (`refusal` is NULL). Without a candidate or retry budget the caller gets the
 * refusal, or the agent waits for the host's answer. */
void RpAgent_RetrySyn(struct rp_agent *agent, int64_t now,
                      struct rp_flow *flow, const struct rp_packet *refusal,
                      struct rp_actions *actions);

/* Leaves a flow to another agent after the caller acknowledged another host's
 * SYN-ACK: resets the own host's half-open connection and forwards the
 * packet. */
void RpAgent_YieldToNextAgent(struct rp_agent *agent, int64_t now,
                              struct rp_flow *flow,
                              const struct rp_packet *packet,
                              const struct rp_chain *chain,
                              struct rp_actions *actions);

/* Answers a SYN-ACK that the host sent after the flow went to another agent
 * with a reset. The caller does not see it. */
void RpAgent_ResetHost(struct rp_agent *agent, struct rp_flow *flow,
                       const struct rp_packet *packet,
                       struct rp_actions *actions);

/* Forwards a packet of a flow that another agent may own to the next agent.
 * If no agent is left, a SYN is decided here, and a segment goes to another
 * service behind the same virtual address, is dropped or resets its caller.
 * `flow` may be NULL. */
void RpAgent_ForwardToNextAgent(struct rp_agent *agent, int64_t now,
                                struct rp_flow *flow,
                                const struct rp_packet *packet,
                                const struct rp_chain *chain,
                                struct rp_actions *actions);

/* rp_agent_search.c: whether the table has every service that the address has
 * or had; a flow of another one must not be taken for lost. */
bool RpAgent_ListsAllServices(const struct rp_agent *agent,
                              struct rp_endpoint address);

/* rp_agent_search.c: asks every agent that may own the packet's flow whether
 * it does, and the owner to handle the packet. Returns false if nothing is
 * sent: the table may lack agents, or there are too many searches. */
bool RpAgent_BeginSearch(struct rp_agent *agent, int64_t now,
                         const struct rp_flow *flow,
                         const struct rp_packet *packet,
                         const struct rp_chain *chain,
                         struct rp_actions *actions);

/* rp_agent_hint.c: tells the balancer that sent the packet that this agent
 * owns its flow, if that is certain and the packet went to another agent
 * first. */
void RpAgent_HintOwner(struct rp_agent *agent, const struct rp_flow *flow,
                       const struct rp_packet *packet,
                       const struct rp_chain *chain,
                       struct rp_actions *actions);

/* Takes the ownership of a flow that the host has just proved, and hints it
 * for the packet that was kept while the host was queried. */
void RpAgent_ConfirmOwnership(struct rp_agent *agent, struct rp_flow *flow,
                              uint8_t state, int64_t now,
                              struct rp_actions *actions);

/* rp_agent_load.c: accounts for the time since the last call, in which the
 * number of busy slots did not change. */
void RpAgent_AccountLoad(struct rp_agent *agent, int64_t now);

/* Tells the balancer that sent a SYN the load of the host, if it asks for that
 * and does not know it. */
void RpAgent_NoteLoad(struct rp_agent *agent, int64_t now,
                      const struct rp_chain *chain,
                      struct rp_actions *actions);

/* rp_agent_learn.c: queries the host about a flow without an entry: sends it
 * the packet and keeps a copy. */
void RpAgent_QueryHost(struct rp_agent *agent, int64_t now,
                       const struct rp_packet *packet,
                       const struct rp_chain *chain,
                       struct rp_actions *actions);

/* Handles a host's packet of a flow without an entry. Any packet but a reset
 * or a returned one proves that the host has the flow, so the agent
 * owns it. */
void RpAgent_LearnFlowFromHost(struct rp_agent *agent, int64_t now,
                               const struct rp_packet *packet,
                               struct rp_actions *actions);

/* As RpAgent_QueryHost, for a flow that has an entry. */
void RpAgent_QueryHostForFlow(struct rp_agent *agent, int64_t now,
                              struct rp_flow *flow,
                              const struct rp_packet *packet,
                              const struct rp_chain *chain,
                              struct rp_actions *actions);

/* Makes the agent the owner of a flow that its host proved to have. */
void RpAgent_TakeOwnership(struct rp_agent *agent, struct rp_flow *flow,
                           uint8_t state, int64_t now);

/* Handles the host's answer that it does not have a flow: forwards the packet
 * with which the host was queried. */
void RpAgent_ReleaseToNextAgent(struct rp_agent *agent, int64_t now,
                                struct rp_flow *flow,
                                struct rp_actions *actions);

/* rp_agent_queue.c: queues requests that wait for a slot of the host. */
void RpAgent_CreateRequestQueue(struct rp_agent *agent);
void RpAgent_FreeRequestQueue(struct rp_agent *agent);

/* Sets the slots of the request queue: the agent's configuration has their
 * number, the service the percentage that long requests may occupy. */
void RpAgent_ConfigureRequestQueue(struct rp_agent *agent);

/* Starts or queues the request that a packet for the host belongs to. Returns
 * true if the packet must not be sent now: it is queued, or dropped because
 * the packet queue is full. */
bool RpAgent_DeferPacket(struct rp_agent *agent, int64_t now,
                         struct rp_flow *flow, const struct rp_packet *packet);

/* Frees the slot of a flow's request that has ended, or removes the request
 * from the queue; its queued packets then go to the host. */
void RpAgent_EndRequest(struct rp_agent *agent, struct rp_flow *flow);

/* Records whether the answer that has just ended took RP_LONG_REQUEST_US or
 * longer: the flow's next request then counts as long. */
void RpAgent_RecordAnswerTime(struct rp_flow *flow, int64_t now);

/* Adds an action that sends at most one released packet; false if there is
 * none. */
bool RpAgent_SendReleasedPacket(struct rp_agent *agent, int64_t now,
                                struct rp_actions *actions);

/* rp_agent_silence.c: checks an open flow for a lost end when its deadline has
 * passed; probes or resets the ends. */
void RpAgent_CheckSilence(struct rp_agent *agent, int64_t now,
                          struct rp_flow *flow, struct rp_actions *actions);

#endif
