/* Parsing and formatting of addresses and endpoints. */
#include "rp_endpoint.h"

#include <glib.h>

bool
RpIp_Parse(struct rp_str text, uint32_t *ip)
{
    uint32_t address = 0;

    for (int i = 0; i < 4; i++) {
        struct rp_str rest;
        uint64_t octet;
        struct rp_str part = RpStr_Split(text, '.', &rest);

        if (!RpStr_ToUint(part, 255, &octet)) {
            return false;
        }
        if ((i < 3) != (part.len < text.len)) {
            return false;
        }
        address = address << 8 | (uint32_t)octet;
        text = rest;
    }
    *ip = address;
    return true;
}

const char *
RpIp_Format(uint32_t ip, char out[RP_ENDPOINT_TEXT_MAX])
{
    g_snprintf(out, RP_ENDPOINT_TEXT_MAX, "%u.%u.%u.%u", ip >> 24,
               ip >> 16 & 255, ip >> 8 & 255, ip & 255);
    return out;
}

bool
RpEndpoint_Parse(struct rp_str text, struct rp_endpoint *endpoint)
{
    struct rp_str port_text;
    struct rp_str ip_text = RpStr_Split(text, ':', &port_text);
    uint64_t port;
    uint32_t ip;

    if (!RpIp_Parse(ip_text, &ip) ||
        !RpStr_ToUint(port_text, UINT16_MAX, &port) || port == 0) {
        return false;
    }
    *endpoint = (struct rp_endpoint){.ip = ip, .port = (uint16_t)port};
    return true;
}

const char *
RpEndpoint_Format(struct rp_endpoint endpoint, char out[RP_ENDPOINT_TEXT_MAX])
{
    char ip[RP_ENDPOINT_TEXT_MAX];

    g_snprintf(out, RP_ENDPOINT_TEXT_MAX, "%s:%u",
               RpIp_Format(endpoint.ip, ip), endpoint.port);
    return out;
}

bool
RpEndpoint_Equal(struct rp_endpoint a, struct rp_endpoint b)
{
    return a.ip == b.ip && a.port == b.port;
}

uint64_t
RpEndpoint_Key(struct rp_endpoint endpoint)
{
    return (uint64_t)endpoint.ip << 16 | endpoint.port;
}
