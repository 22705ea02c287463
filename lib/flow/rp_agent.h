/* The decisions of an agent, the process that runs beside one upstream
 * instance.
 *
 * An agent owns the flows of its host. It admits new flows, sends their
 * packets to the host and the host's answers to the caller, and forwards
 * packets of flows that other agents own. Nothing here does I/O or reads a
 * clock: each call takes an event and the time, in microseconds on the
 * monotonic clock, and returns actions that the caller of the function
 * carries out.
 *
 * A restarted agent has lost its flow table and rebuilds it: it sends a
 * packet of an unknown flow to the host, whose own connection table is
 * authoritative. Any answer but a reset means that the host has the flow.
 */
#ifndef RP_AGENT_H
#define RP_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_admission.h"
#include "rp_chart.h"
#include "rp_codec.h"
#include "rp_counters.h"
#include "rp_geneve.h"
#include "rp_packet.h"
#include "rp_table.h"

#define RP_MAX_ACTIONS 8 /* of one call */
/* Bytes that a packet made by the agent fits into. */
#define RP_SCRATCH_SIZE RP_CODEC_SCRATCH

enum rp_action_kind {
    RP_ACTION_DROP,
    RP_ACTION_TO_HOST,
    RP_ACTION_TO_CALLER,
    RP_ACTION_TO_NEXT_AGENT, /* to the agent at `next` */
    RP_ACTION_SEARCH,        /* to each of `targets`, as a search */
    RP_ACTION_SEARCH_ANSWER, /* the verdict, to the agent at `next` */
    RP_ACTION_HINT,          /* the hint, to the balancer at `next` */
    RP_ACTION_LOAD_NOTE      /* the load, to the balancer at `next` */
};

/* One action. `data` is borrowed: it points into the packet that was passed
 * in, into the agent or into the `rp_actions`, and is valid until the next
 * call. */
struct rp_action {
    enum rp_action_kind kind;
    enum rp_counter reason; /* already counted when the call returns */
    const uint8_t *data;    /* the packet to send; NULL with RP_ACTION_DROP,
                             * RP_ACTION_SEARCH_ANSWER, RP_ACTION_HINT and
                             * RP_ACTION_LOAD_NOTE */
    size_t len;
    struct rp_endpoint next; /* the receiver, where it is not implied */
    /* Only with RP_ACTION_TO_NEXT_AGENT: */
    struct rp_chain chain;
    struct rp_service_tag tag; /* also with RP_ACTION_SEARCH */
    /* Only with RP_ACTION_SEARCH, and `search_id` also with an answer: */
    uint32_t search_id;
    const struct rp_endpoint *targets; /* borrowed, as `data` */
    size_t target_count;
    enum rp_search_verdict verdict; /* only with RP_ACTION_SEARCH_ANSWER */
    struct rp_owner_hint hint;      /* only with RP_ACTION_HINT */
    struct rp_load_note load;       /* only with RP_ACTION_LOAD_NOTE */
};

struct rp_actions {
    size_t count;
    bool begins_request; /* the packet is the first of a request */
    bool begins_answer;  /* the packet is the first of an answer */
    int64_t answer_us;   /* with begins_answer: time since the request went to
                          * the host */
    struct rp_action item[RP_MAX_ACTIONS];
    uint8_t scratch[RP_MAX_ACTIONS][RP_SCRATCH_SIZE];
};

/* The state of an agent's host. The agent assumes RP_HOST_READY until
 * RpAgent_SetHostState is called. */
enum rp_host_state {
    RP_HOST_READY,
    RP_HOST_UNKNOWN, /* no report yet, or the last one is too old */
    RP_HOST_DRAINING,
    RP_HOST_GONE
};

struct rp_agent_config {
    /* The format of packets; NULL means IPv4 with TCP. */
    const struct rp_codec *codec;
    /* Microseconds that the host has to answer a SYN, or the packet of a flow
     * about which it is queried; 0 means RP_HOST_ANSWER_TIMEOUT_US. */
    int64_t host_answer_timeout;
    struct rp_endpoint self; /* this agent's address in chains */
    struct rp_name zone;     /* its data centre; empty: not known */
    int64_t started;         /* when the agent started */
    uint32_t slots;          /* requests the host serves at once */
    int64_t ramp_until;      /* end of the host's cold start */
    int64_t ramp_from;       /* start of the host's cold start */
    uint64_t seed;           /* of the flow table's hash */
};

/* The load of the host as its agent counts it. */
struct rp_agent_load {
    uint32_t slots; /* at present: fewer during a cold start */
    uint32_t flows; /* flows that the agent owns */
    uint32_t busy;  /* flows with an outstanding or expected request */
};

struct rp_agent;

/* Creates an agent without a table. It owns `policy` from then on; `chart`
 * and `counters` are borrowed. Returns NULL if upstream.chart cannot be
 * parsed; `policy` is freed then. */
struct rp_agent *RpAgent_Create(const struct rp_agent_config *config,
                                const struct rp_chart *chart,
                                struct rp_admission *policy,
                                struct rp_counters *counters);

/* Frees the agent and its policy; `agent` may be NULL. */
void RpAgent_Free(struct rp_agent *agent);

/* Sets the agent's table, which is borrowed and may change between calls.
 * `service` is the agent's own service in the table, or NULL if the table does
 * not have it. */
void RpAgent_SetTable(struct rp_agent *agent, const struct rp_table *table,
                      const struct rp_service *service);

/* Tells the agent that an update has been applied to the table, and whether
 * there is a connection to control, which would bring further ones. An agent
 * whose table may be out of date never takes a flow for dead. */
void RpAgent_TableUpdated(struct rp_agent *agent, int64_t now);
void RpAgent_SetControlConnected(struct rp_agent *agent, bool connected);

/* Sets whether the agent is draining: it then admits no new flows. */
void RpAgent_SetDraining(struct rp_agent *agent, bool draining);

/* Sets the state that the host reports. The agent admits new flows only in
 * RP_HOST_READY. */
void RpAgent_SetHostState(struct rp_agent *agent, enum rp_host_state state);

/* Tells the agent that the host lives: it has just sent a report. Its packets
 * count without a call. The silence of a host about a flow means that it has
 * the flow only if the host lives. */
void RpAgent_HostHeard(struct rp_agent *agent, int64_t now);

/* Sets the host's slots; 0 counts as 1. A cold start needs no lower number
 * here: the requests of a slow host take longer and so occupy its slots for
 * longer. */
void RpAgent_SetHostSlots(struct rp_agent *agent, uint32_t slots);

/* Sets the end of the host's cold start. Until then the host gets no more new
 * flows than the rate that its service's configuration gives cold hosts. */
void RpAgent_SetHostColdUntil(struct rp_agent *agent, int64_t deadline);

/* Returns whether the host is cold and its new flows are limited. */
bool RpAgent_IsHostLimited(const struct rp_agent *agent, int64_t now);

/* Sets whether the agent has run since before its host started. It then knows
 * every flow of the host, and forwards packets of unknown flows without
 * querying the host. */
void RpAgent_SetKnowsAllFlows(struct rp_agent *agent, bool knows);

/* Tells the agent that it has seen every flow that its host has opened since
 * the host started, so that none counts against the limit of a cold host but
 * these. */
void RpAgent_SetSeenFromStart(struct rp_agent *agent);

/* Tells the agent that, by its reports, the host has restarted. What a report
 * says is no proof, so the next calls of RpAgent_OnTimer send the host a copy
 * of a packet of each flow that it had: a host that has lost the flow returns
 * or resets it, and only then is the caller reset. Flows that were presumed
 * to be the host's are left to the next agent. */
void RpAgent_HostRestarted(struct rp_agent *agent, int64_t now);

/* Tells the agent that the host has ended and no other takes its place here.
 * The next calls of RpAgent_OnTimer reset the callers of the flows that the
 * host had. */
void RpAgent_HostEnded(struct rp_agent *agent);

/* Returns the time at which RpAgent_OnTimer must be called next; 0 means at
 * once, RP_NEVER that no timer is set. */
int64_t RpAgent_NextTimer(const struct rp_agent *agent);

/* Handles a packet from a caller. `geneve` holds the service tag and the chain
 * of candidates that the packet arrived with. Drops the packet if the agent's
 * table lacks its service or the packet is for another service. */
void RpAgent_FromCaller(struct rp_agent *agent, int64_t now,
                        const struct rp_packet *packet,
                        const struct rp_geneve *geneve,
                        struct rp_actions *actions);

/* Handles a packet of a flow whose owner another agent searches
 * (`geneve->has_search`): answers whether this agent owns the flow, and
 * handles the packet if it does. */
void RpAgent_OnSearch(struct rp_agent *agent, int64_t now,
                      const struct rp_packet *packet,
                      const struct rp_geneve *geneve,
                      struct rp_actions *actions);

/* Handles the answer of the agent at `from` to a search of this agent
 * (`geneve->has_answer`). If no agent owns the flow, resets its caller. */
void RpAgent_OnSearchAnswer(struct rp_agent *agent, int64_t now,
                            struct rp_endpoint from,
                            const struct rp_geneve *geneve,
                            struct rp_actions *actions);

/* Handles a packet from the host, or a caller's packet that the host returned
 * (`packet->returned`). */
void RpAgent_FromHost(struct rp_agent *agent, int64_t now,
                      const struct rp_packet *packet,
                      struct rp_actions *actions);

/* Handles at most one flow with an expired timer, or sends one packet whose
 * request has left the request queue. Returns false if nothing is left to do;
 * callers repeat the call until then. */
bool RpAgent_OnTimer(struct rp_agent *agent, int64_t now,
                     struct rp_actions *actions);

/* Returns the host's load at `now`. */
struct rp_agent_load RpAgent_Load(const struct rp_agent *agent, int64_t now);

/* Returns the enum rp_flow_state of a flow; RP_FLOW_NONE without an entry.
 * The source of `flow` is the caller. */
uint8_t RpAgent_FlowState(const struct rp_agent *agent,
                          struct rp_flow_key flow);

/* Returns the memory that the flow table uses, in bytes. */
size_t RpAgent_TableBytes(const struct rp_agent *agent);

#endif
