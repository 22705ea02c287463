/* Parses and writes Geneve headers with the options of rp_geneve.h. */
#include "rp_geneve.h"

#include <assert.h>
#include <string.h>

#include "rp_bytes.h"

#define OPTION_CLASS 0xff52 /* in the experimental range of RFC 8926 */
#define OPTION_HEADER_SIZE 4
#define OPTION_CRITICAL 0x80
#define OPTION_SERVICE 0x81
#define OPTION_CHAIN 0x82
#define OPTION_SERVICES 0x03
#define OPTION_SEARCH 0x84
#define OPTION_ANSWER 0x85
#define OPTION_ORIGIN 0x06
#define OPTION_HINT 0x87
#define OPTION_LOAD 0x88
#define SERVICE_SIZE 16
#define SEARCH_SIZE 12
#define ANSWER_SIZE 8
#define ORIGIN_SIZE 8
#define HINT_SIZE 20
#define LOAD_SIZE 8
#define CHAIN_HEADER_SIZE 4
#define CHAIN_HOP_SIZE 8
#define CHAIN_FORCED 0x80 /* flag in the byte of the best candidate */

static struct rp_service_tag
get_tag(const uint8_t *data)
{
    return (struct rp_service_tag){.service_id = RpBytes_Get32(data),
                                   .incarnation = RpBytes_Get32(data + 4),
                                   .generation = RpBytes_Get64(data + 8)};
}

static bool
parse_service(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    if (len != SERVICE_SIZE || out->has_tag) {
        return false;
    }
    out->has_tag = true;
    out->tag = get_tag(data);
    return true;
}

static bool
parse_services(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    struct rp_chain *chain = &out->chain;

    if (len % SERVICE_SIZE != 0 ||
        len > SERVICE_SIZE * RP_CHAIN_MAX_SERVICES ||
        chain->service_count > 0) {
        return false;
    }
    chain->service_count = (uint8_t)(len / SERVICE_SIZE);
    for (size_t i = 0; i < chain->service_count; i++) {
        chain->service[i] = get_tag(data + i * SERVICE_SIZE);
    }
    return true;
}

static bool
parse_search(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    if (len != SEARCH_SIZE || out->has_search || out->has_answer) {
        return false;
    }
    out->has_search = true;
    out->searcher.ip = RpBytes_Get32(data);
    out->searcher.port = RpBytes_Get16(data + 4);
    out->search_id = RpBytes_Get32(data + 8);
    return true;
}

static bool
parse_answer(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    if (len != ANSWER_SIZE || out->has_search || out->has_answer ||
        data[4] < RP_SEARCH_OWNS || data[4] > RP_SEARCH_UNSURE) {
        return false;
    }
    out->has_answer = true;
    out->search_id = RpBytes_Get32(data);
    out->verdict = (enum rp_search_verdict)data[4];
    return true;
}

static bool
parse_origin(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    if (len != ORIGIN_SIZE || out->chain.origin.port != 0) {
        return false;
    }
    out->chain.origin.ip = RpBytes_Get32(data);
    out->chain.origin.port = RpBytes_Get16(data + 4);
    return true;
}

static bool
parse_hint(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    struct rp_owner_hint *hint = &out->hint;

    if (len != HINT_SIZE || out->has_hint) {
        return false;
    }
    out->has_hint = true;
    hint->flow.src_ip = RpBytes_Get32(data);
    hint->flow.dst_ip = RpBytes_Get32(data + 4);
    hint->flow.src_port = RpBytes_Get16(data + 8);
    hint->flow.dst_port = RpBytes_Get16(data + 10);
    hint->service_id = RpBytes_Get32(data + 12);
    hint->seq = RpBytes_Get32(data + 16);
    return true;
}

static bool
parse_load(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    if (len != LOAD_SIZE || out->has_load) {
        return false;
    }
    out->has_load = true;
    out->load = (struct rp_load_note){.service_id = RpBytes_Get32(data),
                                      .utilisation = data[4]};
    return true;
}

/* Whether every candidate refers to a service of the chain. */
static bool
has_valid_services(const struct rp_chain *chain)
{
    for (size_t i = 0; chain->service_count > 0 && i < chain->count; i++) {
        if (chain->hop_service[i] >= chain->service_count) {
            return false;
        }
    }
    return true;
}

static bool
parse_chain(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    struct rp_chain *chain = &out->chain;

    if (len < CHAIN_HEADER_SIZE || out->has_chain) {
        return false;
    }
    chain->visited = data[0];
    chain->count = data[1];
    chain->best = data[2] & (uint8_t)~CHAIN_FORCED;
    chain->forced = data[2] & CHAIN_FORCED;
    chain->lowest_utilisation = data[3];
    if (chain->best > 0 && chain->best >= chain->count) {
        return false;
    }
    if (chain->count > RP_MAX_CHAIN || chain->visited > chain->count ||
        len != CHAIN_HEADER_SIZE + (size_t)chain->count * CHAIN_HOP_SIZE) {
        return false;
    }
    for (size_t i = 0; i < chain->count; i++) {
        const uint8_t *hop = data + CHAIN_HEADER_SIZE + i * CHAIN_HOP_SIZE;
        chain->hop[i].ip = RpBytes_Get32(hop);
        chain->hop[i].port = RpBytes_Get16(hop + 4);
        chain->hop_service[i] = hop[6];
    }
    out->has_chain = true;
    return true;
}

/* Parses all options. Returns false if one is malformed, or is critical and
 * unknown. */
static bool
parse_options(const uint8_t *data, size_t len, struct rp_geneve *out)
{
    while (len) {
        if (len < OPTION_HEADER_SIZE) {
            return false;
        }
        uint16_t class = RpBytes_Get16(data);
        uint8_t type = data[2];
        size_t body_size = (size_t)(data[3] & 31) * 4;
        if (len < OPTION_HEADER_SIZE + body_size) {
            return false;
        }
        const uint8_t *value = data + OPTION_HEADER_SIZE;
        bool accepted = true;
        if (class == OPTION_CLASS && type == OPTION_SERVICE) {
            accepted = parse_service(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_CHAIN) {
            accepted = parse_chain(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_SERVICES) {
            accepted = parse_services(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_SEARCH) {
            accepted = parse_search(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_ANSWER) {
            accepted = parse_answer(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_ORIGIN) {
            accepted = parse_origin(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_HINT) {
            accepted = parse_hint(value, body_size, out);
        }
        else if (class == OPTION_CLASS && type == OPTION_LOAD) {
            accepted = parse_load(value, body_size, out);
        }
        else {
            accepted = !(type & OPTION_CRITICAL);
        }
        if (!accepted) {
            return false;
        }
        data += OPTION_HEADER_SIZE + body_size;
        len -= OPTION_HEADER_SIZE + body_size;
    }
    return has_valid_services(&out->chain);
}

bool
RpGeneve_Parse(const uint8_t *data, size_t len, uint16_t protocol,
               struct rp_geneve *out, enum rp_counter *reason)
{
    out->has_tag = false;
    out->has_chain = false;
    out->has_search = false;
    out->has_answer = false;
    out->has_hint = false;
    out->has_load = false;
    out->chain.origin = (struct rp_endpoint){0};
    out->chain.count = 0;
    out->chain.visited = 0;
    out->chain.best = 0;
    out->chain.lowest_utilisation = RP_CHAIN_NO_UTILISATION;
    out->chain.forced = false;
    out->chain.service_count = 0;
    if (len < RP_GENEVE_HEADER) {
        *reason = RP_COUNT_DROP_SHORT;
        return false;
    }
    size_t options = (size_t)(data[0] & 63) * 4;
    bool control = data[1] & 0x80;
    if (data[0] >> 6 != 0 || control || RpBytes_Get16(data + 2) != protocol ||
        len < RP_GENEVE_HEADER + options) {
        *reason = RP_COUNT_DROP_BAD_GENEVE;
        return false;
    }
    if (!parse_options(data + RP_GENEVE_HEADER, options, out)) {
        *reason = RP_COUNT_DROP_BAD_OPTION;
        return false;
    }
    out->inner = data + RP_GENEVE_HEADER + options;
    out->inner_len = len - RP_GENEVE_HEADER - options;
    return true;
}

static uint8_t *
write_option_header(uint8_t *p, uint8_t type, size_t body_size)
{
    assert(body_size % 4 == 0 && body_size / 4 <= 31);
    RpBytes_Put16(p, OPTION_CLASS);
    p[2] = type;
    p[3] = (uint8_t)(body_size / 4);
    return p + OPTION_HEADER_SIZE;
}

static uint8_t *
put_tag(uint8_t *p, const struct rp_service_tag *tag)
{
    RpBytes_Put32(p, tag->service_id);
    RpBytes_Put32(p + 4, tag->incarnation);
    RpBytes_Put64(p + 8, tag->generation);
    return p + SERVICE_SIZE;
}

static uint8_t *
write_service(uint8_t *p, const struct rp_service_tag *tag)
{
    return put_tag(write_option_header(p, OPTION_SERVICE, SERVICE_SIZE), tag);
}

static uint8_t *
write_services(uint8_t *p, const struct rp_chain *chain)
{
    assert(chain->service_count <= RP_CHAIN_MAX_SERVICES);
    p = write_option_header(p, OPTION_SERVICES,
                            (size_t)chain->service_count * SERVICE_SIZE);
    for (size_t i = 0; i < chain->service_count; i++) {
        p = put_tag(p, &chain->service[i]);
    }
    return p;
}

static uint8_t *
write_chain(uint8_t *p, const struct rp_chain *chain)
{
    size_t body_size = CHAIN_HEADER_SIZE +
                       (size_t)chain->count * CHAIN_HOP_SIZE;

    assert(chain->count <= RP_MAX_CHAIN);
    p = write_option_header(p, OPTION_CHAIN, body_size);
    p[0] = chain->visited;
    p[1] = chain->count;
    p[2] = chain->best | (chain->forced ? CHAIN_FORCED : 0);
    p[3] = chain->lowest_utilisation;
    p += CHAIN_HEADER_SIZE;
    for (size_t i = 0; i < chain->count; i++) {
        RpBytes_Put32(p, chain->hop[i].ip);
        RpBytes_Put16(p + 4, chain->hop[i].port);
        p[6] = chain->service_count ? chain->hop_service[i] : 0;
        p[7] = 0;
        p += CHAIN_HOP_SIZE;
    }
    return p;
}

static uint8_t *
write_origin(uint8_t *p, struct rp_endpoint origin)
{
    p = write_option_header(p, OPTION_ORIGIN, ORIGIN_SIZE);
    RpBytes_Put32(p, origin.ip);
    RpBytes_Put16(p + 4, origin.port);
    RpBytes_Put16(p + 6, 0);
    return p + ORIGIN_SIZE;
}

/* Writes the fixed part of the header, whose options end at `end`. Returns the
 * size of the header. */
static size_t
finish_header(uint8_t *out, const uint8_t *end, uint16_t protocol)
{
    size_t options = (size_t)(end - out) - RP_GENEVE_HEADER;

    out[0] = (uint8_t)(options / 4);
    out[1] = options ? 0x40 : 0; /* the "critical options present" bit */
    RpBytes_Put16(out + 2, protocol);
    return RP_GENEVE_HEADER + options;
}

size_t
RpGeneve_Write(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
               const struct rp_service_tag *tag, const struct rp_chain *chain)
{
    uint8_t *p = out + RP_GENEVE_HEADER;

    memset(out, 0, RP_GENEVE_HEADER);
    if (tag) {
        p = write_service(p, tag);
    }
    if (chain) {
        p = write_chain(p, chain);
    }
    if (chain && chain->service_count > 0) {
        p = write_services(p, chain);
    }
    if (chain && chain->origin.port != 0) {
        p = write_origin(p, chain->origin);
    }
    return finish_header(out, p, protocol);
}

size_t
RpGeneve_WriteSearch(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                     const struct rp_service_tag *tag,
                     struct rp_endpoint searcher, uint32_t search_id)
{
    uint8_t *p = out + RP_GENEVE_HEADER;

    memset(out, 0, RP_GENEVE_HEADER);
    p = write_service(p, tag);
    p = write_option_header(p, OPTION_SEARCH, SEARCH_SIZE);
    RpBytes_Put32(p, searcher.ip);
    RpBytes_Put16(p + 4, searcher.port);
    RpBytes_Put16(p + 6, 0);
    RpBytes_Put32(p + 8, search_id);
    return finish_header(out, p + SEARCH_SIZE, protocol);
}

size_t
RpGeneve_WriteAnswer(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                     uint32_t search_id, enum rp_search_verdict verdict)
{
    uint8_t *p = out + RP_GENEVE_HEADER;

    memset(out, 0, RP_GENEVE_HEADER);
    p = write_option_header(p, OPTION_ANSWER, ANSWER_SIZE);
    memset(p, 0, ANSWER_SIZE);
    RpBytes_Put32(p, search_id);
    p[4] = (uint8_t)verdict;
    return finish_header(out, p + ANSWER_SIZE, protocol);
}

size_t
RpGeneve_WriteHint(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                   const struct rp_owner_hint *hint)
{
    uint8_t *p = out + RP_GENEVE_HEADER;

    memset(out, 0, RP_GENEVE_HEADER);
    p = write_option_header(p, OPTION_HINT, HINT_SIZE);
    RpBytes_Put32(p, hint->flow.src_ip);
    RpBytes_Put32(p + 4, hint->flow.dst_ip);
    RpBytes_Put16(p + 8, hint->flow.src_port);
    RpBytes_Put16(p + 10, hint->flow.dst_port);
    RpBytes_Put32(p + 12, hint->service_id);
    RpBytes_Put32(p + 16, hint->seq);
    return finish_header(out, p + HINT_SIZE, protocol);
}

size_t
RpGeneve_WriteLoad(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                   const struct rp_load_note *load)
{
    uint8_t *p = out + RP_GENEVE_HEADER;

    memset(out, 0, RP_GENEVE_HEADER);
    p = write_option_header(p, OPTION_LOAD, LOAD_SIZE);
    memset(p, 0, LOAD_SIZE);
    RpBytes_Put32(p, load->service_id);
    p[4] = load->utilisation;
    return finish_header(out, p + LOAD_SIZE, protocol);
}

bool
RpChain_Contains(const struct rp_chain *chain, struct rp_endpoint endpoint)
{
    for (size_t i = 0; i < chain->count; i++) {
        if (RpEndpoint_Equal(chain->hop[i], endpoint)) {
            return true;
        }
    }
    return false;
}

static bool
append_hop(struct rp_chain *chain, struct rp_endpoint endpoint, uint8_t index)
{
    if (chain->count >= RP_MAX_CHAIN) {
        return false;
    }
    chain->hop_service[chain->count] = index;
    chain->hop[chain->count++] = endpoint;
    return true;
}

bool
RpChain_Append(struct rp_chain *chain, struct rp_endpoint endpoint)
{
    return append_hop(chain, endpoint, 0);
}

bool
RpChain_AppendOf(struct rp_chain *chain, struct rp_endpoint endpoint,
                 uint32_t service_id)
{
    uint8_t index = 0;

    while (index < chain->service_count &&
           chain->service[index].service_id != service_id) {
        index++;
    }
    if (chain->service_count == 0) {
        index = 0;
    }
    else if (index == chain->service_count) {
        return false;
    }
    return append_hop(chain, endpoint, index);
}

struct rp_service_tag
RpChain_HopTag(const struct rp_chain *chain, size_t index,
               struct rp_service_tag own)
{
    if (chain->service_count == 0) {
        return own;
    }
    struct rp_service_tag tag = chain->service[chain->hop_service[index]];
    return tag.service_id == own.service_id ? own : tag;
}
