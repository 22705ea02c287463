#include "rp_gate.h"

#include <assert.h>
#include <glib.h>

/* A kept request. */
struct kept {
    struct rp_flow_key caller;
    int64_t deadline;
};

struct rp_gate {
    uint32_t slots;
    uint32_t long_slots;
    uint32_t inside;
    uint32_t long_inside;
    GQueue short_work; /* of struct kept, oldest first */
    GQueue long_work;
};

struct rp_gate *
RpGate_Create(uint32_t slots, uint32_t long_slots)
{
    struct rp_gate *gate = g_new0(struct rp_gate, 1);

    g_queue_init(&gate->short_work);
    g_queue_init(&gate->long_work);
    RpGate_SetSlots(gate, slots, long_slots);
    return gate;
}

void
RpGate_Free(struct rp_gate *gate)
{
    if (gate) {
        g_queue_clear_full(&gate->short_work, g_free);
        g_queue_clear_full(&gate->long_work, g_free);
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
has_room(const struct rp_gate *gate, bool is_long)
{
    return gate->inside < gate->slots &&
           (!is_long || gate->long_inside < gate->long_slots);
}

static void
let_in(struct rp_gate *gate, bool is_long)
{
    gate->inside++;
    gate->long_inside += is_long;
}

bool
RpGate_Enter(struct rp_gate *gate, int64_t now, struct rp_flow_key caller,
             bool is_long)
{
    GQueue *queue = is_long ? &gate->long_work : &gate->short_work;
    bool room = queue->length == 0 && has_room(gate, is_long);

    if (room || RpGate_Kept(gate) >= RP_GATE_MAX) {
        let_in(gate, is_long);
        return true;
    }
    struct kept *kept = g_new(struct kept, 1);
    kept->caller = caller;
    kept->deadline = now + RP_GATE_HOLD_US;
    g_queue_push_tail(queue, kept);
    return false;
}

void
RpGate_Leave(struct rp_gate *gate, bool is_long)
{
    assert(gate->inside > 0 && (!is_long || gate->long_inside > 0));
    gate->inside--;
    gate->long_inside -= is_long;
}

static bool
is_due(const GQueue *queue, int64_t now)
{
    const struct kept *first = queue->head ? queue->head->data : NULL;

    return first && first->deadline <= now;
}

static void
take_first(struct rp_gate *gate, GQueue *queue, bool is_long,
           struct rp_flow_key *caller)
{
    struct kept *first = g_queue_pop_head(queue);

    *caller = first->caller;
    g_free(first);
    let_in(gate, is_long);
}

bool
RpGate_Next(struct rp_gate *gate, int64_t now, struct rp_flow_key *caller,
            bool *is_long)
{
    bool take_short = gate->short_work.length > 0 &&
                      (has_room(gate, false) ||
                       is_due(&gate->short_work, now));
    bool take_long = gate->long_work.length > 0 &&
                     (has_room(gate, true) || is_due(&gate->long_work, now));

    if (!take_short && !take_long) {
        return false;
    }
    *is_long = !take_short;
    take_first(gate, take_short ? &gate->short_work : &gate->long_work,
               *is_long, caller);
    return true;
}

static bool
cancel_in(GQueue *queue, struct rp_flow_key caller)
{
    for (GList *link = queue->head; link; link = link->next) {
        const struct kept *kept = link->data;
        if (RpFlowKey_Equal(kept->caller, caller)) {
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
    return cancel_in(&gate->short_work, caller) ||
           cancel_in(&gate->long_work, caller);
}

static int64_t
first_deadline(const GQueue *queue)
{
    const struct kept *first = queue->head ? queue->head->data : NULL;

    return first ? first->deadline : RP_NEVER;
}

int64_t
RpGate_NextDeadline(const struct rp_gate *gate)
{
    return MIN(first_deadline(&gate->short_work),
               first_deadline(&gate->long_work));
}

uint32_t
RpGate_Kept(const struct rp_gate *gate)
{
    return gate->short_work.length + gate->long_work.length;
}

uint32_t
RpGate_Inside(const struct rp_gate *gate)
{
    return gate->inside;
}
