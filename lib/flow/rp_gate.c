#include "rp_gate.h"

#include <assert.h>
#include <glib.h>

/* A request that waits for a slot. */
struct waiting_request {
    struct rp_flow_key caller;
    int64_t deadline;
};

struct rp_gate {
    uint32_t slots;
    uint32_t long_slots;
    uint32_t active;      /* started requests, including long ones */
    uint32_t active_long; /* started long requests */
    GQueue waiting_short; /* of struct waiting_request, oldest first */
    GQueue waiting_long;  /* of struct waiting_request, oldest first */
};

struct rp_gate *
RpGate_Create(uint32_t slots, uint32_t long_slots)
{
    struct rp_gate *gate = g_new0(struct rp_gate, 1);

    g_queue_init(&gate->waiting_short);
    g_queue_init(&gate->waiting_long);
    RpGate_SetSlots(gate, slots, long_slots);
    return gate;
}

void
RpGate_Free(struct rp_gate *gate)
{
    if (gate) {
        g_queue_clear_full(&gate->waiting_short, g_free);
        g_queue_clear_full(&gate->waiting_long, g_free);
        g_free(gate);
    }
}

void
RpGate_SetSlots(struct rp_gate *gate, uint32_t slots, uint32_t long_slots)
{
    gate->slots = MAX(slots, 1);
    gate->long_slots = CLAMP(long_slots, 1, gate->slots);
}

static bool
has_free_slot(const struct rp_gate *gate, bool is_long)
{
    return gate->active < gate->slots &&
           (!is_long || gate->active_long < gate->long_slots);
}

static void
occupy_slot(struct rp_gate *gate, bool is_long)
{
    gate->active++;
    gate->active_long += is_long;
}

bool
RpGate_Enter(struct rp_gate *gate, int64_t now, struct rp_flow_key caller,
             bool is_long)
{
    GQueue *queue = is_long ? &gate->waiting_long : &gate->waiting_short;
    bool can_start = queue->length == 0 && has_free_slot(gate, is_long);

    if (can_start || RpGate_Kept(gate) >= RP_GATE_MAX) {
        occupy_slot(gate, is_long);
        return true;
    }
    struct waiting_request *request = g_new(struct waiting_request, 1);
    request->caller = caller;
    request->deadline = now + RP_GATE_HOLD_US;
    g_queue_push_tail(queue, request);
    return false;
}

void
RpGate_Leave(struct rp_gate *gate, bool is_long)
{
    assert(gate->active > 0 && (!is_long || gate->active_long > 0));
    gate->active--;
    gate->active_long -= is_long;
}

static bool
is_first_due(const GQueue *queue, int64_t now)
{
    const struct waiting_request *first = queue->head ? queue->head->data
                                                      : NULL;

    return first && first->deadline <= now;
}

static void
start_first(struct rp_gate *gate, GQueue *queue, bool is_long,
            struct rp_flow_key *caller)
{
    struct waiting_request *first = g_queue_pop_head(queue);

    *caller = first->caller;
    g_free(first);
    occupy_slot(gate, is_long);
}

bool
RpGate_Next(struct rp_gate *gate, int64_t now, struct rp_flow_key *caller,
            bool *is_long)
{
    bool start_short = gate->waiting_short.length > 0 &&
                       (has_free_slot(gate, false) ||
                        is_first_due(&gate->waiting_short, now));
    bool start_long = gate->waiting_long.length > 0 &&
                      (has_free_slot(gate, true) ||
                       is_first_due(&gate->waiting_long, now));

    if (!start_short && !start_long) {
        return false;
    }
    *is_long = !start_short;
    start_first(gate, start_short ? &gate->waiting_short : &gate->waiting_long,
                *is_long, caller);
    return true;
}

static bool
remove_waiting(GQueue *queue, struct rp_flow_key caller)
{
    for (GList *link = queue->head; link; link = link->next) {
        const struct waiting_request *request = link->data;
        if (RpFlowKey_Equal(request->caller, caller)) {
            g_free(link->data);
            g_queue_delete_link(queue, link);
            return true;
        }
    }
    return false;
}

bool
RpGate_Cancel(struct rp_gate *gate, struct rp_flow_key caller)
{
    return remove_waiting(&gate->waiting_short, caller) ||
           remove_waiting(&gate->waiting_long, caller);
}

static int64_t
first_deadline(const GQueue *queue)
{
    const struct waiting_request *first = queue->head ? queue->head->data
                                                      : NULL;

    return first ? first->deadline : RP_NEVER;
}

int64_t
RpGate_NextDeadline(const struct rp_gate *gate)
{
    return MIN(first_deadline(&gate->waiting_short),
               first_deadline(&gate->waiting_long));
}

uint32_t
RpGate_Kept(const struct rp_gate *gate)
{
    return gate->waiting_short.length + gate->waiting_long.length;
}

uint32_t
RpGate_Inside(const struct rp_gate *gate)
{
    return gate->active;
}
