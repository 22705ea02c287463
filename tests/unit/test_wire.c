/* Tests of packets, Geneve, sessions and schemas: round trips, and the reason
 * for which each kind of invalid input is refused. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_bytes.h"
#include "rp_geneve.h"
#include "rp_session.h"

static const struct rp_flow_key test_key = {.src_ip = 0x0a090001,
                                            .dst_ip = 0x0a500001,
                                            .src_port = 4000,
                                            .dst_port = 7000};

static void
test_packet_round_trip(void **state)
{
    struct test_packet test;

    (void)state;
    make_test_packet(&test, test_key, RP_TCP_ACK | RP_TCP_PSH, 77, 88, 10);
    assert_int_equal(test.packet.key.src_ip, test_key.src_ip);
    assert_int_equal(test.packet.key.dst_port, test_key.dst_port);
    assert_int_equal(test.packet.seq, 77);
    assert_int_equal(test.packet.ack, 88);
    assert_int_equal(test.packet.payload_len, 10);
}

/* A valid packet with one byte or its length changed is refused, with the
 * expected reason. */
static void
test_bad_packets(void **state)
{
    static const struct {
        size_t offset;
        uint8_t value;
        size_t len;
        enum rp_counter reason;
    } cases[] = {
        {0, 0x45, 19, RP_COUNT_DROP_SHORT},
        {0, 0x45, 0, RP_COUNT_DROP_SHORT},
        {0, 0x65, 50, RP_COUNT_DROP_BAD_IP},      /* version 6 */
        {0, 0x44, 50, RP_COUNT_DROP_BAD_IP},      /* header too small */
        {0, 0x4f, 50, RP_COUNT_DROP_BAD_IP},      /* header beyond the end */
        {3, 51, 50, RP_COUNT_DROP_BAD_IP},        /* longer than the data */
        {3, 10, 50, RP_COUNT_DROP_BAD_IP},        /* shorter than its header */
        {6, 0x20, 50, RP_COUNT_DROP_FRAGMENT},    /* more fragments */
        {7, 1, 50, RP_COUNT_DROP_FRAGMENT},       /* fragment offset */
        {9, 17, 50, RP_COUNT_DROP_BAD_TRANSPORT}, /* UDP */
        {3, 39, 50, RP_COUNT_DROP_BAD_TRANSPORT}, /* TCP header truncated */
        {32, 0x40, 50, RP_COUNT_DROP_BAD_TRANSPORT}, /* offset too small */
        {32, 0xf0, 50, RP_COUNT_DROP_BAD_TRANSPORT}, /* offset too large */
        {33, 0, 50, RP_COUNT_DROP_BAD_TRANSPORT},    /* no flags */
        {33, RP_TCP_SYN | RP_TCP_FIN, 50, RP_COUNT_DROP_BAD_TRANSPORT},
        {33, RP_TCP_SYN | RP_TCP_RST, 50, RP_COUNT_DROP_BAD_TRANSPORT},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct test_packet test;
        struct rp_packet packet;
        enum rp_counter reason = RP_COUNTER_COUNT;
        make_test_packet(&test, test_key, RP_TCP_ACK, 1, 2, 10);
        test.bytes[cases[i].offset] = cases[i].value;
        assert_false(
            RpPacket_Parse(test.bytes, cases[i].len, &packet, &reason));
        assert_int_equal(reason, cases[i].reason);
    }
}

static void
test_trim_payload_and_make_reset(void **state)
{
    struct test_packet test;
    struct rp_packet parsed;
    enum rp_counter reason;
    uint8_t out[128];

    (void)state;
    make_test_packet(&test, test_key, RP_TCP_SYN, 100, 0, 30);
    size_t len = RpPacket_TrimPayload(&test.packet, out);
    assert_true(RpPacket_Parse(out, len, &parsed, &reason));
    assert_int_equal(parsed.payload_len, 0);
    assert_int_equal(parsed.seq, 100);

    /* The reset that answers a SYN acknowledges the SYN and its payload. */
    len = RpPacket_MakeReset(&test.packet, out);
    assert_true(RpPacket_Parse(out, len, &parsed, &reason));
    assert_int_equal(parsed.flags, RP_TCP_RST | RP_TCP_ACK);
    assert_int_equal(parsed.ack, 131);
    assert_int_equal(parsed.key.src_ip, test_key.dst_ip);
}

static size_t
write_test_datagram(uint8_t out[512])
{
    const struct rp_service_tag tag = {
        .service_id = 3, .incarnation = 4, .generation = 5};
    struct rp_chain chain = {
        .visited = 1, .best = 0, .lowest_utilisation = 70, .forced = true};

    RpChain_Append(&chain, (struct rp_endpoint){.ip = 1, .port = 2});
    RpChain_Append(&chain, (struct rp_endpoint){.ip = 3, .port = 4});
    size_t len = RpGeneve_Write(out, RP_GENEVE_IPV4, &tag, &chain);
    memset(out + len, 'x', 20);
    return len + 20;
}

static void
test_geneve_round_trip(void **state)
{
    uint8_t data[512];
    struct rp_geneve geneve;
    enum rp_counter reason;
    size_t len = write_test_datagram(data);

    (void)state;
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(geneve.has_tag && geneve.has_chain);
    assert_int_equal(geneve.tag.service_id, 3);
    assert_int_equal(geneve.tag.incarnation, 4);
    assert_int_equal(geneve.tag.generation, 5);
    assert_int_equal(geneve.chain.count, 2);
    assert_int_equal(geneve.chain.visited, 1);
    assert_int_equal(geneve.chain.best, 0);
    assert_int_equal(geneve.chain.lowest_utilisation, 70);
    assert_true(geneve.chain.forced);
    assert_int_equal(geneve.chain.hop[1].port, 4);
    assert_int_equal(geneve.inner_len, 20);
}

/* The headers of a search for a flow's owner and of an answer to it, and
 * damaged ones. */
static void
test_geneve_search(void **state)
{
    const struct rp_service_tag tag = {.service_id = 3, .incarnation = 4};
    const struct rp_endpoint searcher = {.ip = 0x0a000001, .port = 8172};
    uint8_t data[RP_GENEVE_HEADROOM];
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)state;
    size_t len = RpGeneve_WriteSearch(data, RP_GENEVE_IPV4, &tag, searcher, 7);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(geneve.has_search && geneve.has_tag && !geneve.has_answer);
    assert_true(RpEndpoint_Equal(geneve.searcher, searcher));
    assert_int_equal(geneve.search_id, 7);
    len = RpGeneve_WriteAnswer(data, RP_GENEVE_IPV4, 9, RP_SEARCH_NOT_OWNED);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(geneve.has_answer && !geneve.has_search && !geneve.has_tag);
    assert_int_equal(geneve.search_id, 9);
    assert_int_equal(geneve.verdict, RP_SEARCH_NOT_OWNED);
    for (size_t cut = 1; cut < len; cut++) {
        assert_false(
            RpGeneve_Parse(data, len - cut, RP_GENEVE_IPV4, &geneve, &reason));
    }
    data[len - 4] = RP_SEARCH_UNSURE + 1;
    assert_false(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_int_equal(reason, RP_COUNT_DROP_BAD_OPTION);
}

/* The option that says where hints go, and the header of a hint, also
 * damaged. */
static void
test_geneve_hint(void **state)
{
    const struct rp_owner_hint hint = {
        .flow = {0x64400007, 0xc6120001, 40001, 443},
        .service_id = 3,
        .seq = 0xfffffff0};
    const struct rp_service_tag tag = {.service_id = 3};
    struct rp_chain chain = {.origin = {.ip = 0x0a000001, .port = 7735}};
    uint8_t data[RP_GENEVE_HEADROOM];
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)state;
    RpChain_Append(&chain, (struct rp_endpoint){.ip = 1, .port = 2});
    size_t len = RpGeneve_Write(data, RP_GENEVE_IPV4, &tag, &chain);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(RpEndpoint_Equal(geneve.chain.origin, chain.origin));
    assert_false(geneve.has_hint);
    data[len - 8 - 1] = 3; /* one word longer than the datagram */
    assert_false(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_int_equal(reason, RP_COUNT_DROP_BAD_OPTION);

    len = RpGeneve_WriteHint(data, RP_GENEVE_IPV4, &hint);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(geneve.has_hint && !geneve.has_tag && !geneve.has_chain);
    assert_int_equal(geneve.chain.origin.port, 0);
    assert_true(RpFlowKey_Equal(geneve.hint.flow, hint.flow));
    assert_int_equal(geneve.hint.service_id, 3);
    assert_int_equal(geneve.hint.seq, 0xfffffff0);
    for (size_t cut = 1; cut < len; cut++) {
        assert_false(
            RpGeneve_Parse(data, len - cut, RP_GENEVE_IPV4, &geneve, &reason));
    }
}

/* The header of a note about a host's load, also damaged. */
static void
test_geneve_load(void **state)
{
    const struct rp_load_note load = {.service_id = 3, .utilisation = 200};
    uint8_t data[RP_GENEVE_HEADROOM];
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)state;
    size_t len = RpGeneve_WriteLoad(data, RP_GENEVE_IPV4, &load);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_true(geneve.has_load && !geneve.has_hint && !geneve.has_tag);
    assert_int_equal(geneve.load.service_id, 3);
    assert_int_equal(geneve.load.utilisation, 200);
    for (size_t cut = 1; cut < len; cut++) {
        assert_false(
            RpGeneve_Parse(data, len - cut, RP_GENEVE_IPV4, &geneve, &reason));
    }
}

/* Candidates of several services: each keeps its tag, and the service that
 * handles the packet replaces its own by a newer one. */
static void
test_geneve_services(void **state)
{
    struct rp_chain chain = {.visited = 1,
                             .service_count = 2,
                             .service = {{.service_id = 3, .incarnation = 4},
                                         {.service_id = 7, .incarnation = 8}}};
    const struct rp_service_tag own = {
        .service_id = 7, .incarnation = 8, .generation = 9};
    uint8_t data[RP_GENEVE_HEADROOM];
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)state;
    for (uint8_t i = 0; i < RP_MAX_CHAIN; i++) {
        assert_true(RpChain_AppendOf(
            &chain, (struct rp_endpoint){.ip = i, .port = 1}, i % 2 ? 7 : 3));
    }
    assert_false(RpChain_AppendOf(&chain, (struct rp_endpoint){.ip = 99}, 3));
    size_t len = RpGeneve_Write(data, RP_GENEVE_IPV4, &chain.service[0],
                                &chain);
    assert_in_range(len, 1, RP_GENEVE_HEADROOM);
    assert_true(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_int_equal(geneve.chain.service_count, 2);
    assert_int_equal(RpChain_HopTag(&geneve.chain, 2, own).service_id, 3);
    assert_int_equal(RpChain_HopTag(&geneve.chain, 2, own).incarnation, 4);
    assert_int_equal(RpChain_HopTag(&geneve.chain, 3, own).generation, 9);
    geneve.chain.count = 1;
    assert_false(
        RpChain_AppendOf(&geneve.chain, (struct rp_endpoint){.ip = 99}, 5));
    /* A candidate that refers to a service which the chain does not list. The
     * index of the last candidate is before the option with the services. */
    data[len - 2 * 16 - 4 - 2] = 2;
    assert_false(RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
    assert_int_equal(reason, RP_COUNT_DROP_BAD_OPTION);
}

static void
test_bad_geneve(void **state)
{
    /* The options start at 8: service header 8-11, its body 12-27, chain
     * header 28-31, visited 32, count 33. */
    static const struct {
        size_t offset;
        uint8_t value;
        size_t len; /* 0: the whole datagram */
        enum rp_counter reason;
    } cases[] = {
        {0, 0, 7, RP_COUNT_DROP_SHORT},
        {0, 0x40, 0, RP_COUNT_DROP_BAD_GENEVE},  /* version 1 */
        {1, 0x80, 0, RP_COUNT_DROP_BAD_GENEVE},  /* control packet */
        {2, 0x65, 0, RP_COUNT_DROP_BAD_GENEVE},  /* not IPv4 */
        {0, 63, 0, RP_COUNT_DROP_BAD_GENEVE},    /* options beyond the end */
        {11, 31, 0, RP_COUNT_DROP_BAD_OPTION},   /* option too long */
        {11, 3, 0, RP_COUNT_DROP_BAD_OPTION},    /* service of 12 bytes */
        {10, 0x82, 0, RP_COUNT_DROP_BAD_OPTION}, /* two chains */
        {10, 0x99, 0, RP_COUNT_DROP_BAD_OPTION}, /* unknown and critical */
        {32, 3, 0, RP_COUNT_DROP_BAD_OPTION},    /* visited over count */
        {34, 2, 0, RP_COUNT_DROP_BAD_OPTION},    /* best beyond the chain */
        {33, 16, 0, RP_COUNT_DROP_BAD_OPTION},   /* count over the limit */
        {33, 1, 0, RP_COUNT_DROP_BAD_OPTION},    /* count and size differ */
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint8_t data[512];
        struct rp_geneve geneve;
        enum rp_counter reason = RP_COUNTER_COUNT;
        size_t len = write_test_datagram(data);
        data[cases[i].offset] = cases[i].value;
        if (cases[i].len) {
            len = cases[i].len;
        }
        assert_false(
            RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason));
        assert_int_equal(reason, cases[i].reason);
    }
}

/* An unknown option that is not critical is skipped. */
static void
test_unknown_option(void **state)
{
    uint8_t data[] = {2, 0, 8, 0, 0, 0, 0, 0, 1, 2, 0x10, 1, 9, 9, 9, 9, 'x'};
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)state;
    assert_true(
        RpGeneve_Parse(data, sizeof data, RP_GENEVE_IPV4, &geneve, &reason));
    assert_false(geneve.has_tag);
    assert_int_equal(geneve.inner_len, 1);
}

/* Both sides of a connection. */
struct session_pair {
    struct rp_session *opener;
    struct rp_session *acceptor;
};

static const struct rp_keyring first_key = {
    .key = {RP_STR("0123456789abcdef")}, .count = 1};
static const struct rp_keyring second_key = {
    .key = {RP_STR("fedcba9876543210")}, .count = 1};
static const struct rp_keyring both_keys = {
    .key = {RP_STR("fedcba9876543210"), RP_STR("0123456789abcdef")},
    .count = 2};

static struct session_pair
make_pair(const struct rp_keyring *opener, const struct rp_keyring *acceptor)
{
    static const uint8_t nonce_a[RP_NONCE_SIZE] = "opener nonce";
    static const uint8_t nonce_b[RP_NONCE_SIZE] = "acceptor nonce";

    return (struct session_pair){
        .opener = RpSession_Create(opener, true, nonce_a),
        .acceptor = RpSession_Create(acceptor, false, nonce_b)};
}

static void
free_pair(struct session_pair pair)
{
    RpSession_Free(pair.opener);
    RpSession_Free(pair.acceptor);
}

/* Sends a message from one session to the other, which decodes it. */
static enum rp_session_result
transfer(struct rp_session *from, struct rp_session *to,
         const struct rp_msg *msg, GString *wire, enum rp_counter *reason)
{
    struct rp_msg received;

    g_string_truncate(wire, 0);
    RpSession_Send(from, msg, wire);
    RpSession_Receive(to,
                      (struct rp_str){.data = wire->str, .len = wire->len});
    enum rp_session_result result = RpSession_Next(to, &received, reason);
    if (result == RP_SESSION_MESSAGE) {
        assert_int_equal(received.type, msg->type);
    }
    RpMsg_Clear(&received);
    return result;
}

/* A replica of an earlier release sends the addresses of the replicas without
 * the leader. Guards against nodes that close the connections of such
 * replicas. */
static void
test_controls_of_earlier_release_decode(void **state)
{
    /* [type, [[[127.0.0.1, 7080]]]] */
    const uint8_t bytes[] = {0x92, RP_MSG_CONTROLS,
                             0x91, 0x91,
                             0x92, 0xce,
                             0x7f, 0x00,
                             0x00, 0x01,
                             0xcd, 0x1b,
                             0xa8};
    struct rp_msg msg;

    (void)state;
    assert_true(RpMsg_Decode(
        (struct rp_str){.data = (const char *)bytes, .len = sizeof bytes},
        &msg));
    assert_int_equal(msg.type, RP_MSG_CONTROLS);
    assert_int_equal(msg.controls.list->len, 1);
    assert_int_equal(msg.controls.leader_known, RP_LEADER_NOT_TOLD);
    RpMsg_Clear(&msg);
}

static const struct rp_msg hello = {
    .type = RP_MSG_HELLO, .hello = {.version = 1, .role = RP_ROLE_AGENT}};
static const struct rp_msg ping = {.type = RP_MSG_PING};

static void
test_session_handshake(void **state)
{
    struct session_pair pair = make_pair(&first_key, &first_key);
    GString *wire = g_string_new(NULL);
    enum rp_counter reason;

    (void)state;
    assert_int_equal(
        transfer(pair.opener, pair.acceptor, &hello, wire, &reason),
        RP_SESSION_MESSAGE);
    assert_false(RpSession_IsAuthenticated(pair.acceptor));
    assert_int_equal(
        transfer(pair.acceptor, pair.opener, &hello, wire, &reason),
        RP_SESSION_MESSAGE);
    assert_true(RpSession_IsAuthenticated(pair.opener));
    assert_int_equal(
        transfer(pair.opener, pair.acceptor, &ping, wire, &reason),
        RP_SESSION_MESSAGE);
    assert_true(RpSession_IsAuthenticated(pair.acceptor));

    /* The same frame a second time is a replay and is refused. */
    struct rp_msg received;
    RpSession_Receive(pair.acceptor,
                      (struct rp_str){.data = wire->str, .len = wire->len});
    assert_int_equal(RpSession_Next(pair.acceptor, &received, &reason),
                     RP_SESSION_FAILED);
    assert_int_equal(reason, RP_COUNT_FRAME_BAD_MAC);
    free_pair(pair);
    g_string_free(wire, TRUE);
}

static void
test_session_keys(void **state)
{
    static const struct {
        const struct rp_keyring *opener;
        const struct rp_keyring *acceptor;
        enum rp_session_result result;
    } cases[] = {
        {&first_key, &first_key, RP_SESSION_MESSAGE},
        {&first_key, &second_key, RP_SESSION_FAILED},
        {&first_key, &both_keys, RP_SESSION_MESSAGE},
        {&second_key, &both_keys, RP_SESSION_MESSAGE},
        {&both_keys, &first_key, RP_SESSION_FAILED},
    };
    GString *wire = g_string_new(NULL);

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct session_pair pair = make_pair(cases[i].opener,
                                             cases[i].acceptor);
        enum rp_counter reason = RP_COUNTER_COUNT;
        assert_int_equal(
            transfer(pair.opener, pair.acceptor, &hello, wire, &reason),
            cases[i].result);
        if (cases[i].result == RP_SESSION_FAILED) {
            assert_int_equal(reason, RP_COUNT_FRAME_BAD_MAC);
        }
        free_pair(pair);
    }
    g_string_free(wire, TRUE);
}

static void
test_session_bad_input(void **state)
{
    static const struct {
        const char *bytes;
        size_t len;
        enum rp_session_result result;
        enum rp_counter reason;
    } cases[] = {
        {"\0\0\0", 3, RP_SESSION_WAIT, RP_COUNTER_COUNT},
        {"\x7f\0\0\0", 4, RP_SESSION_FAILED, RP_COUNT_FRAME_OVER_LIMIT},
        {"\0\0\0\x05xxxxx", 9, RP_SESSION_FAILED, RP_COUNT_FRAME_OVER_LIMIT},
        {"\0\0\0\x12"
         "0123456789abcdef\xc1\xc1",
         22, RP_SESSION_FAILED, RP_COUNT_FRAME_BAD_BODY},
        {"GET / HTTP/1.1\r\n", 16, RP_SESSION_FAILED,
         RP_COUNT_FRAME_OVER_LIMIT},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct session_pair pair = make_pair(&first_key, &first_key);
        enum rp_counter reason = RP_COUNTER_COUNT;
        struct rp_msg msg;
        RpSession_Receive(
            pair.acceptor,
            (struct rp_str){.data = cases[i].bytes, .len = cases[i].len});
        assert_int_equal(RpSession_Next(pair.acceptor, &msg, &reason),
                         cases[i].result);
        assert_int_equal(reason, cases[i].reason);
        free_pair(pair);
    }
}

static void
test_well_formed_bodies(void **state)
{
    static const struct {
        const char *bytes;
        size_t len;
        bool well_formed;
    } cases[] = {
        {"\x07", 1, true},
        {"\xcd\x01\x02", 3, true},
        {"\xcd\x01", 2, false}, /* a truncated number */
        {"\x07\x07", 2, false}, /* two values */
        {"", 0, false},
        {"\x92\x01\xc4\x02hi", 6, true},    /* [1, "hi"] */
        {"\x92\x01", 2, false},             /* an element is missing */
        {"\xc4\x05hi", 4, false},           /* bytes are missing */
        {"\xdd\xff\xff\xff\xff", 5, false}, /* claims 4 billion elements */
        {"\xdf\xff\xff\xff\xff", 5, false}, /* a map */
        {"\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01", 10, false}, /* too deep */
        {"\xca\x00\x00\x00\x00", 5, false},                      /* a float */
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        assert_int_equal(RpSchema_IsWellFormed((struct rp_str){
                             .data = cases[i].bytes, .len = cases[i].len}),
                         cases[i].well_formed);
    }
}

/* Writes a datagram of one of the kinds that agents receive, with an inner
 * packet of 20 bytes, and returns its size. */
static size_t
write_kind_of_datagram(uint8_t out[512], unsigned kind)
{
    const struct rp_service_tag tag = {.service_id = 3, .incarnation = 4};
    struct rp_chain chain = {.visited = 1, .service_count = 3};
    size_t len;

    switch (kind) {
    case 0:
        return write_test_datagram(out);
    case 1:
        for (uint32_t i = 0; i < 9; i++) {
            chain.service[i % 3].service_id = i % 3;
            RpChain_AppendOf(&chain, (struct rp_endpoint){.ip = i, .port = 1},
                             i % 3);
        }
        len = RpGeneve_Write(out, RP_GENEVE_IPV4, &tag, &chain);
        break;
    case 2:
        len = RpGeneve_WriteSearch(out, RP_GENEVE_IPV4, &tag,
                                   (struct rp_endpoint){.ip = 1, .port = 2},
                                   9);
        break;
    default:
        len = RpGeneve_WriteAnswer(out, RP_GENEVE_IPV4, 9, RP_SEARCH_OWNS);
    }
    memset(out + len, 'x', 20);
    return len + 20;
}

/* No input may crash the decoders: decodes messages, datagrams and packets
 * with random bytes changed, from fixed seeds. */
static void
test_mutations(void **state)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    GString *encoded = g_string_new(NULL);

    (void)state;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    struct rp_msg_service service = {
        .id = 1, .members = RpSchema_NewList(&rp_msg_member_schema)};
    struct rp_msg_member member = {.slots = 7};
    g_array_append_val(service.members, member);
    g_array_append_val(msg.table.services, service);
    RpMsg_Encode(&msg, encoded);
    RpMsg_Clear(&msg);

    for (guint32 seed = 0; seed < 20000; seed++) {
        GRand *rng = g_rand_new_with_seed(seed);
        GString *mutated = g_string_new_len(encoded->str,
                                            (gssize)encoded->len);
        uint8_t data[512];
        struct rp_geneve geneve;
        struct rp_packet packet;
        enum rp_counter reason;
        size_t len = write_kind_of_datagram(data, seed % 4);
        for (int i = 0; i < 3; i++) {
            mutated->str[g_rand_int_range(rng, 0, (gint32)mutated->len)] =
                (char)g_rand_int_range(rng, 0, 256);
            data[g_rand_int_range(rng, 0, (gint32)len)] =
                (uint8_t)g_rand_int_range(rng, 0, 256);
        }
        size_t truncated_len = (size_t)g_rand_int_range(
            rng, 0, (gint32)mutated->len + 1);
        if (RpMsg_Decode(
                (struct rp_str){.data = mutated->str, .len = truncated_len},
                &msg)) {
            RpMsg_Clear(&msg);
        }
        if (RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason)) {
            RpPacket_Parse(geneve.inner, geneve.inner_len, &packet, &reason);
        }
        g_string_free(mutated, TRUE);
        g_rand_free(rng);
    }
    g_string_free(encoded, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_packet_round_trip),
        cmocka_unit_test(test_bad_packets),
        cmocka_unit_test(test_trim_payload_and_make_reset),
        cmocka_unit_test(test_geneve_round_trip),
        cmocka_unit_test(test_geneve_search),
        cmocka_unit_test(test_geneve_hint),
        cmocka_unit_test(test_geneve_load),
        cmocka_unit_test(test_geneve_services),
        cmocka_unit_test(test_bad_geneve),
        cmocka_unit_test(test_unknown_option),
        cmocka_unit_test(test_controls_of_earlier_release_decode),
        cmocka_unit_test(test_session_handshake),
        cmocka_unit_test(test_session_keys),
        cmocka_unit_test(test_session_bad_input),
        cmocka_unit_test(test_well_formed_bodies),
        cmocka_unit_test(test_mutations),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
