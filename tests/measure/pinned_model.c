/* Placement model for requests on long-lived connections. A connection stays
 * on its host, so the policies can only choose the order in which a host gets
 * its requests. */
#include "heap.h"
#include "model.h"
#include "rp_request_queue.h"

#define LONG_CONNECTIONS 0.02 /* share of connections with long requests */

enum event_kind { EV_ARRIVE, EV_DONE, EV_HOLD_OVER };

enum policy {
    POLICY_IDEAL,       /* any host, short requests first: not pinned */
    POLICY_FIFO,        /* the host's own FIFO queue */
    POLICY_SHORT_FIRST, /* gate without a cap, predicted class */
    POLICY_CAP_70,      /* gate; long requests get 70% of the slots */
    POLICY_CAP_50,
    POLICY_CAP_30,
    POLICY_KNOWN_50, /* as CAP_50, but the class is known in advance */
    POLICY_COUNT
};

const char *const pinned_policies[] = {
    "ideal",       "host-fifo",   "gate-no-cap",         "gate-cap-70",
    "gate-cap-50", "gate-cap-30", "gate-cap-50-knowing", NULL};

struct request {
    int64_t arrived;
    int64_t service;
    uint32_t host;
    bool is_long;
    bool predicted_long;
};

struct model {
    const struct scenario *scenario;
    enum policy policy;
    struct heap heap;
    GRand *rng;
    GArray *requests;
    struct rp_request_queue *gates[MAX_HOSTS];
    uint32_t serving[MAX_HOSTS];
    GQueue queues[MAX_HOSTS]; /* the hosts' own queues, of request indexes */
    struct balance balance;
    struct outcome *outcome;
    bool mixed; /* any connection may have long requests */
};

/* The number of a host's slots that long requests may use at the same time. */
static uint32_t
long_slots(const struct model *model)
{
    uint32_t slots = model->scenario->slots;

    switch (model->policy) {
    case POLICY_CAP_70:
        return MAX(slots * 70 / 100, 1);
    case POLICY_CAP_50:
    case POLICY_KNOWN_50:
        return MAX(slots * 50 / 100, 1);
    case POLICY_CAP_30:
        return MAX(slots * 30 / 100, 1);
    default:
        return slots;
    }
}

static struct request *
get_request(struct model *model, uint32_t number)
{
    return &g_array_index(model->requests, struct request, number);
}

static void
start_from_host_queue(struct model *model, uint32_t host, int64_t now)
{
    GQueue *queue = &model->queues[host];

    while (model->serving[host] < model->scenario->slots && queue->length) {
        uint32_t number = GPOINTER_TO_UINT(g_queue_pop_head(queue));
        struct request *request = get_request(model, number);
        int64_t service = scale_service_time(model->scenario, host,
                                             request->service, now);
        model->serving[host]++;
        balance_record(&model->balance, model->scenario, now, host,
                       model->serving[host]);
        record_wait(model->outcome, request->arrived, now - request->arrived,
                    request->is_long);
        heap_push(&model->heap, now + service, EV_DONE, number, host);
    }
}

static void
enqueue_at_host(struct model *model, uint32_t number, int64_t now)
{
    uint32_t host = get_request(model, number)->host;

    g_queue_push_tail(&model->queues[host], GUINT_TO_POINTER(number));
    start_from_host_queue(model, host, now);
}

/* Moves requests that wait at the host's gate to the host, as many as the gate
 * admits. */
static void
admit_from_gate(struct model *model, uint32_t host, int64_t now)
{
    struct rp_flow_key caller;
    bool is_long;

    while (
        RpRequestQueue_StartNext(model->gates[host], now, &caller, &is_long)) {
        enqueue_at_host(model, caller.src_ip, now);
    }
}

/* Returns whether the agent predicts that this request is long. The agent has
 * seen the connection's earlier answers, so it recognises connections with
 * long requests; on mixed connections it cannot tell and predicts short. */
static bool
predict_long(const struct model *model, const struct request *request)
{
    if (model->policy == POLICY_KNOWN_50) {
        return request->is_long;
    }
    return !model->mixed && request->is_long;
}

static uint32_t
find_least_loaded_host(const struct model *model)
{
    uint32_t best = 0;

    for (uint32_t i = 1; i < model->scenario->hosts; i++) {
        if (RpRequestQueue_CountStarted(model->gates[i]) +
                RpRequestQueue_CountWaiting(model->gates[i]) <
            RpRequestQueue_CountStarted(model->gates[best]) +
                RpRequestQueue_CountWaiting(model->gates[best])) {
            best = i;
        }
    }
    return best;
}

static void
handle_arrival(struct model *model, int64_t now)
{
    struct request request = {.arrived = now};
    int64_t next = next_arrival(model->scenario, model->rng, now);
    uint32_t number = model->requests->len;

    request.host = (uint32_t)g_rand_int_range(model->rng, 0,
                                              (gint32)model->scenario->hosts);
    request.is_long = g_rand_double(model->rng) < model->scenario->long_share;
    request.service = draw_service(model->scenario, model->rng,
                                   request.is_long);
    request.predicted_long = predict_long(model, &request);
    if (model->policy == POLICY_IDEAL) {
        request.host = find_least_loaded_host(model);
        request.predicted_long = request.is_long;
    }
    g_array_append_val(model->requests, request);
    if (next < RUN_US) {
        heap_push(&model->heap, next, EV_ARRIVE, 0, 0);
    }
    if (model->policy == POLICY_FIFO) {
        enqueue_at_host(model, number, now);
        return;
    }
    struct rp_flow_key caller = {.src_ip = number, .src_port = 1};
    if (RpRequestQueue_StartOrEnqueue(model->gates[request.host], now, caller,
                                      request.predicted_long)) {
        enqueue_at_host(model, number, now);
        return;
    }
    heap_push(&model->heap, now + RP_REQUEST_MAX_WAIT_US, EV_HOLD_OVER, number,
              request.host);
}

static void
finish_service(struct model *model, uint32_t number, uint32_t host,
               int64_t now)
{
    model->serving[host]--;
    balance_record(&model->balance, model->scenario, now, host,
                   model->serving[host]);
    if (model->policy != POLICY_FIFO) {
        RpRequestQueue_Finish(model->gates[host],
                              get_request(model, number)->predicted_long);
        admit_from_gate(model, host, now);
    }
    start_from_host_queue(model, host, now);
}

void
run_pinned_model(const struct scenario *scenario, size_t policy, bool mixed,
                 uint32_t seed, struct outcome *outcome)
{
    struct model model = {
        .scenario = scenario,
        .policy = (enum policy)policy,
        .mixed = mixed,
        .rng = g_rand_new_with_seed(seed),
        .requests = g_array_new(FALSE, FALSE, sizeof(struct request)),
        .outcome = outcome};
    struct event event;

    for (uint32_t i = 0; i < scenario->hosts; i++) {
        model.gates[i] = RpRequestQueue_Create(scenario->slots,
                                               long_slots(&model));
    }
    heap_push(&model.heap, 1, EV_ARRIVE, 0, 0);
    while (heap_pop(&model.heap, &event)) {
        if (event.kind == EV_ARRIVE) {
            handle_arrival(&model, event.time);
        }
        else if (event.kind == EV_DONE) {
            finish_service(&model, event.subject, event.detail, event.time);
        }
        else {
            admit_from_gate(&model, event.detail, event.time);
        }
    }
    outcome->imbalance = balance_result(&model.balance);
    for (uint32_t i = 0; i < scenario->hosts; i++) {
        RpRequestQueue_Free(model.gates[i]);
    }
    heap_clear(&model.heap);
    g_array_free(model.requests, TRUE);
    g_rand_free(model.rng);
}
