/* The control instance's port between nodes under load that uses up its
 * descriptors. Uses loopback. */
#include <gio/gio.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "control.h"
#include "sockets.h"

#define HELLO_MS 1000 /* a new peer is accepted within this */
/* Wakeups of the main loop in a second, without a spinning source: each
 * connection has a timer of 250 ms. */
#define WAKEUPS_MAX 1000

/* A control instance as far as its port between nodes needs it. */
struct node_port {
    struct control control;
    struct rp_catalog *catalog;
    FILE *log_file;
    char *log_text;
    size_t log_len;
};

static struct node_port *
open_node_port(void)
{
    struct node_port *port = g_new0(struct node_port, 1);
    struct control *control = &port->control;

    assert_true(sodium_init() >= 0);
    port->log_file = open_memstream(&port->log_text, &port->log_len);
    control->daemon.log = RpLog_Create(port->log_file, RP_LOG_INFO, "control",
                                       "c-1");
    control->daemon.keyring = (struct rp_keyring){
        .key = {RP_STR("0123456789abcdef")}, .count = 1};
    control->daemon.context = (struct rp_conn_context){
        .keyring = &control->daemon.keyring,
        .counters = &control->daemon.counters,
        .log = control->daemon.log};
    control->daemon.net = (struct rp_net_context){
        .counters = &control->daemon.counters, .log = control->daemon.log};
    control->settings.listen = (struct rp_endpoint){.ip = LOOPBACK,
                                                    .port = find_tcp_port()};
    port->catalog = RpCatalog_Create();
    control->registry = RpRegistry_Create();
    control->distribution = RpDistribution_Create(
        port->catalog, control->registry, RpControl_SendTable, control);
    control->clients = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, g_free);
    assert_true(RpControl_Listen(control));
    return port;
}

static unsigned
count_clients(const struct node_port *port)
{
    return g_hash_table_size(port->control.clients);
}

/* Returns whether a new peer is accepted within HELLO_MS. */
static bool
is_accepting(const struct node_port *port)
{
    uint64_t number = count_clients(port) + 1;
    int fd = start_connect(port->control.settings.listen.port);

    for (unsigned ms = 0; ms < HELLO_MS && count_clients(port) < number;
         ms += 5) {
        run_loop(5);
    }
    bool accepted = count_clients(port) >= number;
    close(fd);
    return accepted;
}

static bool
has_logged(struct node_port *port, const char *event)
{
    fflush(port->log_file);
    return strstr(port->log_text, event) != NULL;
}

static int
restore_limit(void **state)
{
    (void)state;
    restore_descriptor_limit();
    return 0;
}

/* Guards against connections that leave no descriptors for the journal and for
 * the links to the other replicas. Those beyond the bound are refused at
 * once. */
static void
test_leaves_a_reserve(void **state)
{
    (void)state;
    set_descriptor_limit(count_descriptors() + 60);
    struct node_port *port = open_node_port();
    struct herd herd = start_herd(port->control.settings.listen.port, 100);
    int spare[10];

    assert_true(wait_for_herd(&herd));
    run_loop(100);
    for (unsigned i = 0; i < G_N_ELEMENTS(spare); i++) {
        spare[i] = dup(STDERR_FILENO);
        assert_true(spare[i] >= 0);
    }
    assert_in_range(count_clients(port), 10, 60);
    assert_true(port->control.daemon.counters.value[RP_COUNT_PEER_LIMIT] > 0);
    assert_true(has_logged(port, "event=peer_over_limit"));
    for (unsigned i = 0; i < G_N_ELEMENTS(spare); i++) {
        close(spare[i]);
    }
    stop_herd(&herd);
    run_loop(200);
    assert_int_equal(count_clients(port), 0);
    assert_true(is_accepting(port));
    restore_descriptor_limit();
}

/* Guards against a loop that spins on a failed accept, which starves every
 * other source, and against a port that stays deaf after it. */
static void
test_does_not_spin_without_descriptors(void **state)
{
    struct node_port *port = open_node_port();
    struct herd herd = start_herd(port->control.settings.listen.port, 60);

    (void)state;
    set_descriptor_limit(count_descriptors() + 20);
    assert_true(wait_for_herd(&herd));
    run_loop(100);
    assert_in_range(run_loop(1000), 0, WAKEUPS_MAX);
    stop_herd(&herd);
    run_loop(200);
    assert_in_range(run_loop(1000), 0, WAKEUPS_MAX);
    assert_true(is_accepting(port));
    assert_true(has_logged(port, "event=accept_failed"));
    assert_true(has_logged(port, "event=accept_resumed"));
    restore_descriptor_limit();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_leaves_a_reserve, restore_limit),
        cmocka_unit_test_teardown(test_does_not_spin_without_descriptors,
                                  restore_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
