/* The HTTP port of a process under load that uses up its descriptors, its
 * accept queue or its patience: it must go on to answer new callers. Uses
 * loopback; the clock is moved ahead instead of waiting. */
#include <errno.h>
#include <gio/gio.h>
#include <limits.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "rp_accept.h"
#include "rp_descriptors.h"
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

/* Answers when the test tells it to. */
static void
on_slow_request(SoupServer *server, SoupServerMessage *message,
                const char *path, GHashTable *query, gpointer data)
{
    SoupServerMessage **waiting = data;

    (void)server;
    (void)path;
    (void)query;
    *waiting = g_object_ref(message);
    soup_server_message_pause(message);
}

/* Guards against a request that is being answered and loses its connection to
 * new callers or to a deadline. */
static void
test_answered_request_does_not_give_way(void **state)
{
    SoupServerMessage *message = NULL;

    (void)state;
    set_descriptor_limit(count_descriptors() + 60);
    struct port *port = open_port();
    soup_server_add_handler(port->server, "/slow", on_slow_request, &message,
                            NULL);
    int caller = start_connect(port->number);
    run_loop(5);
    send_text(caller, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    run_loop(20);
    assert_non_null(message);
    struct herd herd = start_herd(port->number, 50);
    wait_for_herd(&herd);
    for (unsigned ms = 0; ms < 3 * IDLE_LIMIT_MS; ms += 1000) {
        skip_time(1000);
    }
    assert_true(ask(port->number, ANSWER_MS));
    RpHttp_Answer(message, SOUP_STATUS_OK, "text/plain", g_string_new("x"));
    soup_server_message_unpause(message);
    g_object_unref(message);
    assert_true(receive_answers(caller, 1, ANSWER_MS));
    close(caller);
    stop_herd(&herd);
    restore_descriptor_limit();
    close_port(port);
}

/* Guards against an errno value that ends the port or is tried again at
 * once. */
static void
test_errors_of_accept(void **state)
{
    static const struct {
        int error;
        enum rp_accept_action action;
    } cases[] = {{EAGAIN, RP_ACCEPT_WAIT},       {EINTR, RP_ACCEPT_NEXT},
                 {ECONNABORTED, RP_ACCEPT_NEXT}, {EPROTO, RP_ACCEPT_NEXT},
                 {ENETDOWN, RP_ACCEPT_NEXT},     {EMFILE, RP_ACCEPT_PAUSE},
                 {ENFILE, RP_ACCEPT_PAUSE},      {ENOBUFS, RP_ACCEPT_PAUSE},
                 {ENOMEM, RP_ACCEPT_PAUSE},      {EBADF, RP_ACCEPT_REOPEN},
                 {EINVAL, RP_ACCEPT_REOPEN},     {ENOTSOCK, RP_ACCEPT_REOPEN},
                 {INT_MAX, RP_ACCEPT_REOPEN}};
    struct rp_accept accept = {0};
    enum rp_counter reason;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        assert_int_equal(RpAccept_Judge(cases[i].error, &reason),
                         cases[i].action);
    }
    assert_false(RpAccept_Succeed(&accept));
    RpAccept_Pause(&accept, 1000000);
    assert_true(RpAccept_MayLog(&accept, 1000000));
    assert_false(RpAccept_MayLog(&accept, 1000001));
    assert_false(RpAccept_Resume(&accept, accept.paused_until - 1));
    assert_true(RpAccept_Resume(&accept, accept.paused_until));
    assert_false(RpAccept_Resume(&accept, accept.paused_until));
    assert_true(RpAccept_Succeed(&accept));
    assert_false(RpAccept_Succeed(&accept));
}

/* Guards against a listening socket that is of no use any more, as after a
 * shutdown of it by mistake: the port is opened again. */
static void
test_opens_a_broken_socket_again(void **state)
{
    struct port *port = open_port();

    (void)state;
    shutdown(find_listening_socket(port->number), SHUT_RDWR);
    run_loop(300);
    assert_true(ask(port->number, ANSWER_MS));
    assert_int_equal(port->counters.value[RP_COUNT_ACCEPT_BROKEN], 1);
    close_port(port);
}

/* Guards against bounds that leave nothing for files, or nothing for
 * callers. */
static void
test_bounds_leave_a_reserve(void **state)
{
    static const unsigned limits[] = {64, 300, 1024, 4100, 20000, 1u << 20};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        unsigned nodes = RpDescriptors_NodeBound(limits[i]);
        unsigned http = RpDescriptors_HttpBound(limits[i]);
        assert_true(nodes >= limits[i] / 2 || nodes == 30000);
        assert_true(http >= 4);
        assert_true(nodes + 2 * http + MIN(200, limits[i] / 4) <= limits[i]);
    }
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
    for (unsigned ms = 0; ms < 2 * BEAT_MS; ms += 100) {
        skip_time(100);
    }
    int spare[10];
    for (unsigned i = 0; i < G_N_ELEMENTS(spare); i++) {
        spare[i] = dup(STDERR_FILENO);
        assert_true(spare[i] >= 0);
    }
    for (unsigned i = 0; i < 20; i++) {
        assert_true(ask(port->number, ANSWER_MS));
    }
    assert_true(connected);
    assert_in_range(port->counters.value[RP_COUNT_CALLER_GAVE_WAY], 80, 120);
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
        cmocka_unit_test_teardown(test_answered_request_does_not_give_way,
                                  restore_limit),
        cmocka_unit_test(test_errors_of_accept),
        cmocka_unit_test(test_opens_a_broken_socket_again),
        cmocka_unit_test(test_bounds_leave_a_reserve),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
