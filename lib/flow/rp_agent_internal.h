/* The agent's own parts, shared by the rp_agent_*.c files. */
#ifndef RP_AGENT_INTERNAL_H
#define RP_AGENT_INTERNAL_H

#include <glib.h>

#include "rp_agent.h"
#include "rp_flow_chart.h"
#include "rp_flow_table.h"
#include "rp_gate.h"
#include "rp_health.h"
#include "rp_hold.h"
#include "rp_time.h"
#include "rp_work.h"

/* How long a host may take to answer a SYN before the next one is tried. */
#define RP_SYN_PATIENCE_US (250 * RP_US_PER_MS)
/* How long an idle flow is remembered where its ends cannot be probed.
 * Flows that live longer are found again through the host. */
#define RP_IDLE_FORGET_US (120 * RP_US_PER_SECOND)
/* How long a slot is kept for the first request of a new flow. */
#define RP_RESERVE_US RP_SYN_PATIENCE_US
/* How long a copy of a SYN may wander about. An agent that has run longer
 * knows every flow whose SYN it can still see. */
#define RP_SYN_LIFETIME_US (120 * RP_US_PER_SECOND)
/* How long an owner is looked for. Tables may differ for as long as a change
 * may take to be in force everywhere (7 s), so a flow that nobody seems to
 * have may still be found. */
#define RP_OWNER_PATIENCE_US (10 * RP_US_PER_SECOND)
/* How long an answered SYN may stay unconfirmed. */
#define RP_CONFIRM_PATIENCE_US (60 * RP_US_PER_SECOND)
/* How long a closed flow and an unused redirect are remembered. */
#define RP_CLOSED_LINGER_US (60 * RP_US_PER_SECOND)
#define RP_REDIRECT_LINGER_US (120 * RP_US_PER_SECOND)
/* An answer that takes longer than this makes its flow one for long work. */
#define RP_LONG_AFTER_US (200 * RP_US_PER_MS)
/* Entries of any kind; a SYN flood gets no further than this. */
#define RP_AGENT_MAX_ENTRIES 1000000
/* Retries that may be saved up, in hundredths of a retry. */
#define RP_RETRY_BURST_CENTS 2000

/* A flow whose deadline is short, in the order of the deadlines: all of
 * them are the same time after they were set. */
struct rp_short_timer {
    struct rp_flow_key caller;
    int64_t deadline;
};

struct rp_agent {
    struct rp_agent_config config;
    const struct rp_chart *chart;
    struct rp_admission *policy;
    struct rp_counters *counters;
    const struct rp_table *table;
    const struct rp_service *service;
    bool draining;
    bool knows_all; /* there is no flow of the host that it does not know */
    enum rp_host_state host;
    GArray *lost; /* of struct rp_flow_key: the host has lost them */
    struct rp_health health;
    struct rp_flow_table *flows;
    struct rp_hold *hold;
    struct rp_held *taken; /* what the last actions may point into */
    struct rp_gate *gate;
    GHashTable *kept; /* caller -> GQueue of struct rp_held, at the gate */
    size_t kept_bytes;
    GQueue released;     /* of struct rp_held, on their way to the host */
    GQueue short_timers; /* of struct rp_short_timer, for states */
    GQueue reserves;     /* of struct rp_short_timer, for kept slots */
    uint32_t owned;
    uint32_t busy;
    struct rp_work work; /* what a request takes in a slot */
    int32_t retry_cents;
    int64_t swept_until; /* next time for a part of the long sweep */
};

/* Starts a call: what the last one's actions pointed to is let go. */
void RpAgent_Begin(struct rp_agent *agent, struct rp_actions *actions);

/* Takes the flow's held packet for the actions of this call. */
const struct rp_held *RpAgent_TakeHeld(struct rp_agent *agent,
                                       const struct rp_flow *flow);

/* Adds an action and counts its reason; returns it for the details. */
struct rp_action *RpAgent_Act(struct rp_agent *agent,
                              struct rp_actions *actions,
                              enum rp_action_kind kind,
                              enum rp_counter reason);

/* Adds an action that sends `len` bytes at `data`. */
void RpAgent_Send(struct rp_agent *agent, struct rp_actions *actions,
                  enum rp_action_kind kind, enum rp_counter reason,
                  const uint8_t *data, size_t len);

/* Adds an action that sends a bare segment from `key.src` to `key.dst`. */
void RpAgent_SendSegment(struct rp_agent *agent, struct rp_actions *actions,
                         enum rp_action_kind kind, enum rp_counter reason,
                         struct rp_flow_key key, uint8_t flags, uint32_t seq,
                         uint32_t ack);

/* Whether packets can be made that look like an end's own. */
static inline bool
RpAgent_CanForge(const struct rp_agent *agent)
{
    return agent->config.codec->ops->make_segment != NULL;
}

/* Resets the caller of a flow that its host has lost. */
void RpAgent_ResetLost(struct rp_agent *agent, int64_t now,
                       struct rp_flow *flow, struct rp_actions *actions);

/* Answers a caller's packet with a reset. */
void RpAgent_ResetCaller(struct rp_agent *agent, struct rp_actions *actions,
                         enum rp_counter reason,
                         const struct rp_packet *packet);

/* Puts a flow into a state, with the counts and the deadline that go with
 * it. */
void RpAgent_Enter(struct rp_agent *agent, struct rp_flow *flow, uint8_t state,
                   int64_t now);

/* Whether a state's deadline is one of the short ones. */
bool RpAgent_HasShortTimer(uint8_t state);

/* Removes a flow's entry and what is held for it. */
void RpAgent_Forget(struct rp_agent *agent, struct rp_flow *flow);

/* Sets whether a request is outstanding. */
void RpAgent_SetBusy(struct rp_agent *agent, struct rp_flow *flow, bool busy);

/* Keeps a slot for the first request of a flow that is being opened. */
void RpAgent_Reserve(struct rp_agent *agent, struct rp_flow *flow,
                     int64_t now);

/* The load as admission sees it. */
void RpAgent_FillLoad(const struct rp_agent *agent, int64_t now,
                      struct rp_endpoint address, const struct rp_chain *chain,
                      struct rp_load *load);

/* Updates what is known of both directions from one packet. The first tells
 * whether a request begins with it. */
bool RpAgent_TrackCaller(struct rp_agent *agent, struct rp_flow *flow,
                         const struct rp_packet *packet, int64_t now);
void RpAgent_TrackHost(struct rp_agent *agent, struct rp_flow *flow,
                       const struct rp_packet *packet, int64_t now);

/* rp_agent_classify.c: the event that a packet is for its flow; `forced`
 * says that a SYN was sent back here. */
enum rp_flow_event RpAgent_ClassifyCaller(const struct rp_flow *flow,
                                          const struct rp_packet *packet,
                                          bool forced);
enum rp_flow_event RpAgent_ClassifyHost(const struct rp_packet *packet);

/* Whether a host's reset answers a segment of another host's flow that was
 * shown to it, and not the flow that it has itself. */
bool RpAgent_IsForeignReset(const struct rp_flow *flow,
                            const struct rp_packet *packet);

/* rp_agent_chain.c: moves `chain` on to the next candidate; `opens` says
 * that it is for a new flow. False when nobody is left. */
bool RpAgent_NextHop(const struct rp_agent *agent, struct rp_chain *chain,
                     struct rp_flow_key caller, bool opens,
                     struct rp_endpoint *next);

/* As RpAgent_NextHop, but to `wanted` if it can still be tried. */
bool RpAgent_NextHopPrefer(const struct rp_agent *agent,
                           struct rp_chain *chain, struct rp_flow_key caller,
                           bool opens, struct rp_endpoint wanted,
                           struct rp_endpoint *next);

/* rp_agent_open.c: a SYN that opens a flow; `flow` is an earlier entry of
 * that caller or NULL. */
void RpAgent_Decide(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                    const struct rp_packet *packet,
                    const struct rp_chain *chain, struct rp_actions *actions);
void RpAgent_Renew(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                   const struct rp_packet *packet,
                   const struct rp_chain *chain, struct rp_actions *actions);

/* The host refused (`refusal`) or did not answer (NULL) a SYN. */
void RpAgent_Retry(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                   const struct rp_packet *refusal,
                   struct rp_actions *actions);
void RpAgent_Yield(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                   const struct rp_packet *packet,
                   const struct rp_chain *chain, struct rp_actions *actions);
void RpAgent_Quash(struct rp_agent *agent, struct rp_flow *flow,
                   const struct rp_packet *packet, struct rp_actions *actions);

/* Passes a packet of another agent's flow on. */
void RpAgent_Pass(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                  const struct rp_packet *packet, const struct rp_chain *chain,
                  struct rp_actions *actions);

/* rp_agent_learn.c: flows that this agent does not know. */
void RpAgent_Ask(struct rp_agent *agent, int64_t now,
                 const struct rp_packet *packet, const struct rp_chain *chain,
                 struct rp_actions *actions);
void RpAgent_AdoptFromHost(struct rp_agent *agent, int64_t now,
                           const struct rp_packet *packet,
                           struct rp_actions *actions);
void RpAgent_AskAgain(struct rp_agent *agent, int64_t now,
                      struct rp_flow *flow, const struct rp_packet *packet,
                      const struct rp_chain *chain,
                      struct rp_actions *actions);
void RpAgent_Adopt(struct rp_agent *agent, struct rp_flow *flow, uint8_t state,
                   int64_t now);
void RpAgent_Release(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                     struct rp_actions *actions);

/* rp_agent_gate.c: requests that wait for a slot. */
void RpAgent_GateCreate(struct rp_agent *agent);
void RpAgent_GateFree(struct rp_agent *agent);

/* Takes the slots from the service's document. */
void RpAgent_GateConfigure(struct rp_agent *agent);

/* Whether a packet for the host is kept at the gate. */
bool RpAgent_GateHolds(struct rp_agent *agent, int64_t now,
                       struct rp_flow *flow, const struct rp_packet *packet);

/* The flow's request is over, or the flow is. */
void RpAgent_GateLeave(struct rp_agent *agent, struct rp_flow *flow);

/* The host has answered: learns whether that took long. */
void RpAgent_GateLearn(struct rp_flow *flow, int64_t now);

/* Sends at most one released packet; false when there is none. */
bool RpAgent_GatePump(struct rp_agent *agent, int64_t now,
                      struct rp_actions *actions);

/* rp_agent_silence.c: the time of an open flow's check has come. */
void RpAgent_CheckSilence(struct rp_agent *agent, int64_t now,
                          struct rp_flow *flow, struct rp_actions *actions);

#endif
