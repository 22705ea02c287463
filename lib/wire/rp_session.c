/* Frames and their authentication. */
#include "rp_session.h"

#include <assert.h>
#include <string.h>

#include "rp_bytes.h"

#define LENGTH_SIZE 4  /* bytes */
#define DIGEST_SIZE 32 /* bytes, SHA-256 */

/* The state of one direction of the connection, which enters its MACs. */
struct direction {
    uint8_t nonce[RP_NONCE_SIZE]; /* of the sender */
    bool has_nonce;
    uint8_t marker;  /* 'o': sent by the opening side; 'a': by the other */
    uint64_t frames; /* number of the next frame */
};

struct rp_session {
    const struct rp_keyring *keyring;
    struct direction outgoing;
    struct direction incoming;
    bool authenticated;
    GString *input; /* received bytes of frames that are not decoded yet */
};

struct rp_session *
RpSession_Create(const struct rp_keyring *keyring, bool opened_by_us,
                 const uint8_t nonce[RP_NONCE_SIZE])
{
    struct rp_session *session = g_new0(struct rp_session, 1);

    assert(keyring->count >= 1);
    session->keyring = keyring;
    memcpy(session->outgoing.nonce, nonce, RP_NONCE_SIZE);
    session->outgoing.has_nonce = true;
    session->outgoing.marker = opened_by_us ? 'o' : 'a';
    session->incoming.marker = opened_by_us ? 'a' : 'o';
    session->input = g_string_new(NULL);
    return session;
}

void
RpSession_Free(struct rp_session *session)
{
    if (session) {
        g_string_free(session->input, TRUE);
        g_free(session);
    }
}

void
RpSession_Receive(struct rp_session *session, struct rp_str bytes)
{
    g_string_append_len(session->input, bytes.data, (gssize)bytes.len);
}

/* Writes the MAC of a frame in direction `from`; `to` is the opposite
 * direction. The opening side sends its hello before it knows the accepting
 * side's nonce, so the MAC of that hello does not cover it. */
static void
compute_mac(struct rp_str key, const struct direction *from,
            const struct direction *to, bool cover_receiver_nonce,
            struct rp_str body, uint8_t mac[RP_MAC_SIZE])
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key.data,
                             key.len);
    uint8_t number[8];
    uint8_t digest[DIGEST_SIZE];
    gsize digest_len = sizeof digest;

    RpBytes_Put64(number, from->frames);
    g_hmac_update(hmac, &from->marker, 1);
    g_hmac_update(hmac, number, sizeof number);
    g_hmac_update(hmac, from->nonce, RP_NONCE_SIZE);
    if (cover_receiver_nonce) {
        g_hmac_update(hmac, to->nonce, RP_NONCE_SIZE);
    }
    g_hmac_update(hmac, (const guchar *)body.data, (gssize)body.len);
    g_hmac_get_digest(hmac, digest, &digest_len);
    g_hmac_unref(hmac);
    memcpy(mac, digest, RP_MAC_SIZE);
}

/* Returns whether the MAC is valid with any of the keys. */
static bool
verify_mac(struct rp_session *session, const uint8_t *mac, struct rp_str body)
{
    bool is_opener_hello = session->incoming.frames == 0 &&
                           session->incoming.marker == 'o';

    for (size_t i = 0; i < session->keyring->count; i++) {
        uint8_t expected[RP_MAC_SIZE];
        uint8_t difference = 0;
        compute_mac(session->keyring->key[i], &session->incoming,
                    &session->outgoing, !is_opener_hello, body, expected);
        /* Compares in constant time. */
        for (size_t j = 0; j < RP_MAC_SIZE; j++) {
            difference |= expected[j] ^ mac[j];
        }
        if (difference == 0) {
            return true;
        }
    }
    return false;
}

/* Reads the peer's nonce from its hello. This is the only frame whose body is
 * decoded before its MAC is verified, because the MAC covers the nonce. */
static bool
read_peer_nonce(struct rp_session *session, struct rp_str body)
{
    struct rp_msg hello;

    if (!RpMsg_Decode(body, &hello)) {
        return false;
    }
    bool is_hello = hello.type == RP_MSG_HELLO;
    if (is_hello) {
        memcpy(session->incoming.nonce, hello.hello.nonce, RP_NONCE_SIZE);
        session->incoming.has_nonce = true;
    }
    RpMsg_Clear(&hello);
    return is_hello;
}

/* Verifies one frame and decodes its message. */
static bool
decode_frame(struct rp_session *session, struct rp_str frame,
             struct rp_msg *msg, enum rp_counter *reason)
{
    const uint8_t *mac = (const uint8_t *)frame.data;
    struct rp_str body = {.data = frame.data + RP_MAC_SIZE,
                          .len = frame.len - RP_MAC_SIZE};

    if (!session->incoming.has_nonce && !read_peer_nonce(session, body)) {
        *reason = RP_COUNT_FRAME_BAD_BODY;
        return false;
    }
    if (!verify_mac(session, mac, body)) {
        *reason = RP_COUNT_FRAME_BAD_MAC;
        return false;
    }
    /* Every frame but the opening side's hello covers our nonce. */
    if (session->incoming.frames > 0 || session->incoming.marker == 'a') {
        session->authenticated = true;
    }
    session->incoming.frames++;
    if (!RpMsg_Decode(body, msg)) {
        *reason = RP_COUNT_FRAME_BAD_BODY;
        return false;
    }
    if ((msg->type == RP_MSG_HELLO) != (session->incoming.frames == 1)) {
        RpMsg_Clear(msg);
        *reason = RP_COUNT_FRAME_UNEXPECTED;
        return false;
    }
    return true;
}

enum rp_session_result
RpSession_Next(struct rp_session *session, struct rp_msg *msg,
               enum rp_counter *reason)
{
    const GString *input = session->input;

    memset(msg, 0, sizeof *msg);
    if (input->len < LENGTH_SIZE) {
        return RP_SESSION_WAIT;
    }
    uint32_t length = RpBytes_Get32((const uint8_t *)input->str);
    uint32_t limit = session->authenticated ? RP_FRAME_MAX
                                            : RP_FRAME_UNAUTH_MAX;
    if (length > limit || length < RP_MAC_SIZE) {
        *reason = RP_COUNT_FRAME_OVER_LIMIT;
        return RP_SESSION_FAILED;
    }
    if (input->len < LENGTH_SIZE + (size_t)length) {
        return RP_SESSION_WAIT;
    }
    struct rp_str frame = {.data = input->str + LENGTH_SIZE, .len = length};
    bool decoded = decode_frame(session, frame, msg, reason);
    g_string_erase(session->input, 0, (gssize)(LENGTH_SIZE + length));
    return decoded ? RP_SESSION_MESSAGE : RP_SESSION_FAILED;
}

void
RpSession_Send(struct rp_session *session, const struct rp_msg *msg,
               GString *out)
{
    struct rp_msg copy = *msg;
    GString *body = g_string_new(NULL);
    uint8_t length[LENGTH_SIZE];
    uint8_t mac[RP_MAC_SIZE];

    assert((msg->type == RP_MSG_HELLO) == (session->outgoing.frames == 0));
    if (copy.type == RP_MSG_HELLO) {
        memcpy(copy.hello.nonce, session->outgoing.nonce, RP_NONCE_SIZE);
    }
    RpMsg_Encode(&copy, body);
    compute_mac(session->keyring->key[0], &session->outgoing,
                &session->incoming, session->incoming.has_nonce,
                (struct rp_str){.data = body->str, .len = body->len}, mac);
    session->outgoing.frames++;
    RpBytes_Put32(length, (uint32_t)(body->len + RP_MAC_SIZE));
    g_string_append_len(out, (const char *)length, LENGTH_SIZE);
    g_string_append_len(out, (const char *)mac, RP_MAC_SIZE);
    g_string_append_len(out, body->str, (gssize)body->len);
    g_string_free(body, TRUE);
}

bool
RpSession_IsAuthenticated(const struct rp_session *session)
{
    return session->authenticated;
}
