/* New flows that nobody can take now: decided again a moment later, before
 * their callers are told. */
#include <string.h>

#include "rp_agent_internal.h"

/* How long a new flow may wait for its second decision, as a share of the
 * latency that its callers hope for. */
#define WAIT_PERCENT 25
#define ALL_PERCENT 100
/* Callers send a SYN again after 200 ms at the earliest; what is refused with
 * a reset must have been refused before. */
#define WAIT_MAX_US (150 * RP_US_PER_MS)
#define WAITING_MAX 1024

/* A SYN that waits, with the candidates that came with it. */
struct waiting_syn {
    int64_t came;
    int64_t deadline;
    struct rp_flow_key caller;
    struct rp_held *held;
};

void
RpAgent_FreeWaiting(gpointer data)
{
    struct waiting_syn *syn = data;

    g_free(syn->held);
    g_free(syn);
}

bool
RpAgent_LetWait(struct rp_agent *agent, int64_t now,
                const struct rp_packet *packet, const struct rp_chain *chain)
{
    const struct rp_vip *vip = RpTable_FindVip(agent->table,
                                               RpFlowKey_Target(packet->key));
    int64_t wait = vip ? (int64_t)vip->target_ms * RP_US_PER_MS *
                             WAIT_PERCENT / ALL_PERCENT
                       : 0;

    if (packet->copy > 0 || packet->waited_us > 0 || wait == 0 ||
        agent->waiting.length >= WAITING_MAX) {
        return false;
    }
    struct waiting_syn *syn = g_new0(struct waiting_syn, 1);
    syn->came = now;
    syn->deadline = now + MIN(wait, WAIT_MAX_US);
    syn->caller = packet->key;
    syn->held = g_malloc0(sizeof *syn->held + packet->len);
    syn->held->chain = *chain;
    syn->held->len = packet->len;
    memcpy(syn->held->data, packet->data, packet->len);
    g_queue_push_tail(&agent->waiting, syn);
    return true;
}

int64_t
RpAgent_NextWaiting(const struct rp_agent *agent)
{
    const struct waiting_syn *first = agent->waiting.head
                                          ? agent->waiting.head->data
                                          : NULL;

    return first ? first->deadline : RP_NEVER;
}

bool
RpAgent_EndWaiting(struct rp_agent *agent, int64_t now,
                   struct rp_actions *actions)
{
    struct waiting_syn *syn = g_queue_peek_head(&agent->waiting);
    struct rp_packet packet;
    enum rp_counter reason;

    if (!syn || syn->deadline > now) {
        return false;
    }
    g_queue_pop_head(&agent->waiting);
    agent->taken = syn->held;
    if (agent->config.codec->ops->parse(syn->held->data, syn->held->len,
                                        &packet, &reason) &&
        !RpFlowTable_Find(agent->flows, syn->caller)) {
        packet.waited_us = (uint32_t)(now - syn->came);
        RpAgent_Decide(agent, now, NULL, &packet, &syn->held->chain, actions);
    }
    g_free(syn);
    return true;
}
