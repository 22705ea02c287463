/* Two FIFO queues, for short and for long requests. See rp_request_queue.h. */
#include "rp_request_queue.h"

#include <assert.h>
#include <glib.h>

/* A request that waits for a slot. */
struct waiting_request {
    struct rp_flow_key caller;
    int64_t deadline;
};

struct rp_request_queue {
    uint32_t slots;
    uint32_t long_slots;
    uint32_t active;      /* started requests, including long ones */
    uint32_t active_long; /* started long requests */
    GQueue waiting_short; /* of struct waiting_request, oldest first */
    GQueue waiting_long;  /* of struct waiting_request, oldest first */
};

struct rp_request_queue *
RpRequestQueue_Create(uint32_t slots, uint32_t long_slots)
{
    struct rp_request_queue *queue = g_new0(struct rp_request_queue, 1);

    g_queue_init(&queue->waiting_short);
    g_queue_init(&queue->waiting_long);
    RpRequestQueue_SetSlots(queue, slots, long_slots);
    return queue;
}

void
RpRequestQueue_Free(struct rp_request_queue *queue)
{
    if (queue) {
        g_queue_clear_full(&queue->waiting_short, g_free);
        g_queue_clear_full(&queue->waiting_long, g_free);
        g_free(queue);
    }
}

void
RpRequestQueue_SetSlots(struct rp_request_queue *queue, uint32_t slots,
                        uint32_t long_slots)
{
    queue->slots = MAX(slots, 1);
    queue->long_slots = CLAMP(long_slots, 1, queue->slots);
}

static bool
has_free_slot(const struct rp_request_queue *queue, bool is_long)
{
    return queue->active < queue->slots &&
           (!is_long || queue->active_long < queue->long_slots);
}

static void
occupy_slot(struct rp_request_queue *queue, bool is_long)
{
    queue->active++;
    queue->active_long += is_long;
}

bool
RpRequestQueue_StartOrEnqueue(struct rp_request_queue *queue, int64_t now,
                              struct rp_flow_key caller, bool is_long)
{
    GQueue *fifo = is_long ? &queue->waiting_long : &queue->waiting_short;
    bool can_start = fifo->length == 0 && has_free_slot(queue, is_long);

    if (can_start ||
        RpRequestQueue_CountWaiting(queue) >= RP_REQUEST_QUEUE_MAX) {
        occupy_slot(queue, is_long);
        return true;
    }
    struct waiting_request *request = g_new(struct waiting_request, 1);
    request->caller = caller;
    request->deadline = now + RP_REQUEST_MAX_WAIT_US;
    g_queue_push_tail(fifo, request);
    return false;
}

void
RpRequestQueue_Finish(struct rp_request_queue *queue, bool is_long)
{
    assert(queue->active > 0 && (!is_long || queue->active_long > 0));
    queue->active--;
    queue->active_long -= is_long;
}

static bool
is_first_due(const GQueue *fifo, int64_t now)
{
    const struct waiting_request *first = fifo->head ? fifo->head->data : NULL;

    return first && first->deadline <= now;
}

static void
start_first(struct rp_request_queue *queue, GQueue *fifo, bool is_long,
            struct rp_flow_key *caller)
{
    struct waiting_request *first = g_queue_pop_head(fifo);

    *caller = first->caller;
    g_free(first);
    occupy_slot(queue, is_long);
}

bool
RpRequestQueue_StartNext(struct rp_request_queue *queue, int64_t now,
                         struct rp_flow_key *caller, bool *is_long)
{
    bool start_short = queue->waiting_short.length > 0 &&
                       (has_free_slot(queue, false) ||
                        is_first_due(&queue->waiting_short, now));
    bool start_long = queue->waiting_long.length > 0 &&
                      (has_free_slot(queue, true) ||
                       is_first_due(&queue->waiting_long, now));

    if (!start_short && !start_long) {
        return false;
    }
    *is_long = !start_short;
    start_first(queue,
                start_short ? &queue->waiting_short : &queue->waiting_long,
                *is_long, caller);
    return true;
}

static bool
remove_waiting(GQueue *fifo, struct rp_flow_key caller)
{
    for (GList *link = fifo->head; link; link = link->next) {
        const struct waiting_request *request = link->data;
        if (RpFlowKey_Equal(request->caller, caller)) {
            g_free(link->data);
            g_queue_delete_link(fifo, link);
            return true;
        }
    }
    return false;
}

bool
RpRequestQueue_Cancel(struct rp_request_queue *queue,
                      struct rp_flow_key caller)
{
    return remove_waiting(&queue->waiting_short, caller) ||
           remove_waiting(&queue->waiting_long, caller);
}

static int64_t
first_deadline(const GQueue *fifo)
{
    const struct waiting_request *first = fifo->head ? fifo->head->data : NULL;

    return first ? first->deadline : RP_NEVER;
}

int64_t
RpRequestQueue_NextDeadline(const struct rp_request_queue *queue)
{
    return MIN(first_deadline(&queue->waiting_short),
               first_deadline(&queue->waiting_long));
}

uint32_t
RpRequestQueue_CountWaiting(const struct rp_request_queue *queue)
{
    return queue->waiting_short.length + queue->waiting_long.length;
}

uint32_t
RpRequestQueue_CountStarted(const struct rp_request_queue *queue)
{
    return queue->active;
}
