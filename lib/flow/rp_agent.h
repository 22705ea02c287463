/* The decisions of an agent, the process beside one upstream instance.
 *
 * The agent owns the flows of its host: it admits new ones, gives their
 * packets to the host and the host's answers to the caller, and passes on
 * packets of flows that others own. Nothing here does I/O or reads a clock:
 * each call takes an event and the time and returns actions.
 *
 * What the agent forgets (by a restart) it learns again: a packet of an
 * unknown flow is shown to the host, whose own connection table is the
 * truth. Any answer but a reset means that the flow is the host's.
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

#define RP_MAX_ACTIONS 4
#define RP_SCRATCH_SIZE RP_CODEC_SCRATCH /* of a packet made here */

enum rp_action_kind {
    RP_ACTION_DROP,
    RP_ACTION_TO_HOST,
    RP_ACTION_TO_CALLER,
    RP_ACTION_PASS /* to `next`, with `chain` */
};

/* One thing to do. `data` points into the packet that was passed in, into
 * the agent or into `rp_actions` itself, and is valid until the next call. */
struct rp_action {
    enum rp_action_kind kind;
    enum rp_counter reason;
    const uint8_t *data;
    size_t len;
    struct rp_endpoint next;
    struct rp_chain chain;
    struct rp_service_tag tag; /* of a packet that is passed on */
};

struct rp_actions {
    size_t count;
    bool begins_request; /* the packet is the first of a request */
    bool begins_answer;  /* the packet is the first of an answer */
    int64_t answer_us;   /* how long that took */
    struct rp_action item[RP_MAX_ACTIONS];
    uint8_t scratch[RP_MAX_ACTIONS][RP_SCRATCH_SIZE];
};

/* What the agent knows of its host. An agent that nobody tells of its host
 * takes it to be there. */
enum rp_host_state {
    RP_HOST_READY,
    RP_HOST_UNKNOWN, /* not heard of yet, or not for long */
    RP_HOST_DRAINING,
    RP_HOST_GONE
};

struct rp_agent_config {
    /* The format of packets; NULL: IPv4 with TCP. */
    const struct rp_codec *codec;
    /* How long the host may take to answer a SYN or to disown a flow that
     * it was asked about; 0: RP_SYN_PATIENCE_US. */
    int64_t patience;
    struct rp_endpoint self; /* this agent, as chains name it */
    int64_t started;         /* when the agent started */
    uint32_t slots;          /* requests the host serves at once */
    int64_t ramp_until;      /* end of the host's cold start */
    int64_t ramp_from;       /* its begin */
    uint64_t seed;
};

/* What the agent counts of its host. */
struct rp_agent_load {
    uint32_t slots;
    uint32_t flows;
    uint32_t busy;
};

struct rp_agent;

/* `policy` is taken over; `chart` and `counters` are borrowed. NULL if a
 * chart of the agent's own cannot be read. */
struct rp_agent *RpAgent_Create(const struct rp_agent_config *config,
                                const struct rp_chart *chart,
                                struct rp_admission *policy,
                                struct rp_counters *counters);

void RpAgent_Free(struct rp_agent *agent);

/* Gives the agent its table; borrowed, may change between calls. `service`
 * is the agent's own service in it, or NULL while it has none. */
void RpAgent_SetTable(struct rp_agent *agent, const struct rp_table *table,
                      const struct rp_service *service);

/* From now on: no new flows (true), or new flows again (false). */
void RpAgent_SetDraining(struct rp_agent *agent, bool draining);

/* What the host says of itself. While it is not ready it gets no new
 * flows. */
void RpAgent_SetHostState(struct rp_agent *agent, enum rp_host_state state);

/* Its slots. A cold start does not count here: a slow host's requests take
 * longer, and so fill its slots by themselves. */
void RpAgent_SetHostSlots(struct rp_agent *agent, uint32_t slots);

/* The agent has run since before its host started: it knows every flow of
 * the host, and an unknown one is certainly not the host's. */
void RpAgent_SetKnowsAll(struct rp_agent *agent);

/* The host has started anew and holds none of its flows any more: their
 * callers are told by the next calls of RpAgent_OnTimer. */
void RpAgent_HostRestarted(struct rp_agent *agent, int64_t now);

/* The first time at which RpAgent_OnTimer has something to do. */
int64_t RpAgent_NextTimer(const struct rp_agent *agent);

/* A packet on its way to the host. `geneve` is what it came in. */
void RpAgent_FromCaller(struct rp_agent *agent, int64_t now,
                        const struct rp_packet *packet,
                        const struct rp_geneve *geneve,
                        struct rp_actions *actions);

/* A packet that the host sent. */
void RpAgent_FromHost(struct rp_agent *agent, int64_t now,
                      const struct rp_packet *packet,
                      struct rp_actions *actions);

/* Handles at most one flow whose deadline has passed; call it until it
 * returns false. */
bool RpAgent_OnTimer(struct rp_agent *agent, int64_t now,
                     struct rp_actions *actions);

struct rp_agent_load RpAgent_Load(const struct rp_agent *agent, int64_t now);

/* The state of a flow as its caller names it, as in charts/flow.chart. */
uint8_t RpAgent_FlowState(const struct rp_agent *agent,
                          struct rp_flow_key flow);

/* Bytes that the flow table takes. */
size_t RpAgent_Bytes(const struct rp_agent *agent);

#endif
