/* The HTTP port of a process under load that uses up its descriptors, its
 * accept queue or its patience: it must go on to answer new callers. Uses
 * loopback; the clock is moved ahead instead of waiting. */
#include <gio/gio.h>
#include <unistd.h>

#include "check.h"
#include "rp_http.h"
#include "sockets.h"

#define BODY_MAX 1000
#define ANSWER_MS 1000       /* a new caller is answered within this */
#define BEAT_MS 1200         /* between two requests of a regular caller */
#define IDLE_LIMIT_MS 30000  /* a connection without a request is closed */
#define HERD_OF_CALLERS 150u /* at once, while the process does not run */

struct port {
    struct rp_counters counters;
    struct rp_net_context context;
    SoupServer *server;
    uint16_t number;
};

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    RpHttp_Answer(message, SOUP_STATUS_OK, "text/plain", g_string_new("x"));
}

static struct port *
open_port(void)
{
    struct port *port = g_new0(struct port, 1);

    port->number = find_tcp_port();
    port->context.counters = &port->counters;
    port->server = RpHttp_Serve(
        (struct rp_endpoint){.ip = LOOPBACK, .port = port->number}, BODY_MAX,
        &port->context, NULL);
    assert_non_null(port->server);
    soup_server_add_handler(port->server, NULL, on_request, NULL, NULL);
    return port;
}

static void
close_port(struct port *port)
{
    g_object_unref(port->server);
    run_loop(5);
    g_free(port);
}

static int
restore_limit(void **state)
{
    (void)state;
    restore_descriptor_limit();
    return 0;
}

/* Guards against a listener that is gone after one failed accept: callers took
 * all descriptors and closed them again, and no later caller was accepted. */
static void
test_answers_after_descriptors_ran_out(void **state)
{
    struct port *port = open_port();

    (void)state;
    struct herd herd = start_herd(port->number, 60);
    set_descriptor_limit(count_descriptors() + 20);
    wait_for_herd(&herd);
    run_loop(100);
    stop_herd(&herd);
    run_loop(200);
    assert_true(ask(port->number, ANSWER_MS));
    restore_descriptor_limit();
    close_port(port);
}

/* Guards against an accept queue that is too short for a herd: SYNs that do
 * not fit are dropped, and their callers see silence for a second or more. */
static void
test_queue_holds_a_herd(void **state)
{
    struct port *port = open_port();
    int callers[HERD_OF_CALLERS];
    unsigned connected = 0;

    (void)state;
    for (unsigned i = 0; i < HERD_OF_CALLERS; i++) {
        callers[i] = start_connect(port->number);
    }
    g_usleep(50 * 1000);
    for (unsigned i = 0; i < HERD_OF_CALLERS; i++) {
        connected += is_connected(callers[i]);
    }
    assert_int_equal(connected, HERD_OF_CALLERS);
    for (unsigned i = 0; i < HERD_OF_CALLERS; i++) {
        assert_true(ask_on(callers[i], ANSWER_MS));
        close(callers[i]);
    }
    close_port(port);
}

/* Guards against connections that keep a descriptor for good: their callers
 * have lost their power, send no request or never complete one. */
static void
test_closes_what_stays_idle(void **state)
{
    static const char part_of_head[] = "GET / HTTP/1.1\r\nHos";
    static const char part_of_body[] = "PUT / HTTP/1.1\r\nHost: x\r\n"
                                       "Content-Length: 9\r\n\r\nx";
    struct port *port = open_port();

    (void)state;
    unsigned before = count_descriptors();
    int silent = start_connect(port->number);
    int answered = start_connect(port->number);
    int in_head = start_connect(port->number);
    int in_body = start_connect(port->number);
    run_loop(20);
    assert_true(ask_on(answered, ANSWER_MS));
    assert_true(write(in_head, part_of_head, sizeof part_of_head - 1) > 0);
    assert_true(write(in_body, part_of_body, sizeof part_of_body - 1) > 0);
    run_loop(20);
    for (unsigned ms = 0; ms < 2 * IDLE_LIMIT_MS; ms += 1000) {
        skip_time(1000);
    }
    assert_true(has_ended(silent));
    assert_true(has_ended(answered));
    assert_true(has_ended(in_head));
    assert_true(has_ended(in_body));
    /* No descriptor stays behind: four are those of the callers. */
    run_loop(20);
    assert_int_equal(count_descriptors(), before + 4);
    assert_int_equal(port->counters.value[RP_COUNT_CALLER_IDLE], 3);
    assert_int_equal(port->counters.value[RP_COUNT_CALLER_STALLED], 1);
    close(silent);
    close(answered);
    close(in_head);
    close(in_body);
    close_port(port);
}

/* Guards against closing the connection of a caller that asks regularly. */
static void
test_keeps_a_regular_caller(void **state)
{
    struct port *port = open_port();

    (void)state;
    int caller = start_connect(port->number);
    for (unsigned ms = 0; ms < 3 * IDLE_LIMIT_MS; ms += BEAT_MS) {
        assert_true(ask_on(caller, ANSWER_MS));
        skip_time(BEAT_MS);
    }
    assert_false(has_ended(caller));
    close(caller);
    close_port(port);
}

/* Guards against a descriptor that each caller leaves behind when it closes
 * its connection after an answer. */
static void
test_closed_callers_leave_nothing(void **state)
{
    struct port *port = open_port();
    unsigned before = count_descriptors();

    (void)state;
    for (unsigned i = 0; i < 20; i++) {
        assert_true(ask(port->number, ANSWER_MS));
    }
    int caller = start_connect(port->number);
    assert_true(ask_on(caller, ANSWER_MS));
    assert_true(ask_on(caller, ANSWER_MS));
    close(caller);
    run_loop(20);
    assert_int_equal(count_descriptors(), before);
    close_port(port);
}

/* Guards against losing the second of two requests that arrive together, and
 * against keeping a connection that its caller wants closed. */
static void
test_requests_in_a_row(void **state)
{
    struct port *port = open_port();
    int caller = start_connect(port->number);

    (void)state;
    run_loop(5);
    send_text(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                      "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                      "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                      "\r\nb");
    assert_true(receive_answers(caller, 3, ANSWER_MS));
    assert_true(ask_on(caller, ANSWER_MS));
    assert_false(has_ended(caller));
    send_text(caller,
              "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    assert_true(receive_answers(caller, 1, ANSWER_MS));
    run_loop(20);
    assert_true(has_ended(caller));
    close(caller);
    close_port(port);
}

/* Guards against idle connections that take all descriptors: new callers are
 * answered, and files and other connections can still be opened. */
static void
test_idle_give_way_to_new_callers(void **state)
{
    (void)state;
    set_descriptor_limit(count_descriptors() + 60);
    struct port *port = open_port();
    struct herd herd = start_herd(port->number, 100);
    bool connected = wait_for_herd(&herd);
    skip_time(BEAT_MS);
    int spare[10];
    for (unsigned i = 0; i < G_N_ELEMENTS(spare); i++) {
        spare[i] = dup(STDERR_FILENO);
        assert_true(spare[i] >= 0);
    }
    for (unsigned i = 0; i < 20; i++) {
        assert_true(ask(port->number, ANSWER_MS));
    }
    assert_true(connected);
    for (unsigned i = 0; i < G_N_ELEMENTS(spare); i++) {
        close(spare[i]);
    }
    stop_herd(&herd);
    restore_descriptor_limit();
    close_port(port);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_answers_after_descriptors_ran_out,
                                  restore_limit),
        cmocka_unit_test_teardown(test_queue_holds_a_herd, restore_limit),
        cmocka_unit_test_teardown(test_closes_what_stays_idle, restore_limit),
        cmocka_unit_test_teardown(test_keeps_a_regular_caller, restore_limit),
        cmocka_unit_test_teardown(test_closed_callers_leave_nothing,
                                  restore_limit),
        cmocka_unit_test_teardown(test_requests_in_a_row, restore_limit),
        cmocka_unit_test_teardown(test_idle_give_way_to_new_callers,
                                  restore_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
