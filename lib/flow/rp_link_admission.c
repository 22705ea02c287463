/* Whether a balancer takes a new flow, by the room on its outgoing link. See
 * rp_link_admission.h. */
#include "rp_link_admission.h"

#include <glib.h>

/* The last refusal of a caller. */
struct refusal {
    uint32_t ip;
    int64_t until; /* until then, the caller is not refused lightly again */
};

struct rp_link_admission {
    struct rp_link *link;
    struct rp_egress *egress;
    struct rp_link_flows *flows;
    struct refusal refused[RP_LINK_REFUSED_MAX];
};

struct rp_link_admission *
RpLinkAdmission_Create(struct rp_link *link, struct rp_egress *egress,
                       struct rp_link_flows *flows)
{
    struct rp_link_admission *admission = g_new0(struct rp_link_admission, 1);

    admission->link = link;
    admission->egress = egress;
    admission->flows = flows;
    return admission;
}

void
RpLinkAdmission_Free(struct rp_link_admission *admission)
{
    g_free(admission);
}

int64_t
RpLinkAdmission_Estimate(struct rp_link_admission *admission, int64_t now,
                         const struct rp_vip *vip)
{
    struct rp_link *link = admission->link;
    uint64_t bytes = RpEgress_BytesBefore(admission->egress, vip->priority) +
                     RpLinkFlows_Outstanding(admission->flows, now,
                                             vip->priority) +
                     RpLinkFlows_MeanSize(admission->flows, vip->address);

    RpLink_Measure(link, now);
    uint32_t taken = MIN(link->urgent_percent, 100 - RP_LINK_MIN_BULK_PERCENT);
    return RpLink_Backlog(link, now) +
           RpLink_Duration(link, bytes) * 100 / (100 - taken);
}

/* Returns the place of the caller in the table of refusals. */
static struct refusal *
find_place(struct rp_link_admission *admission, uint32_t ip)
{
    return &admission->refused[g_direct_hash(GUINT_TO_POINTER(ip)) %
                               RP_LINK_REFUSED_MAX];
}

bool
RpLinkAdmission_Takes(struct rp_link_admission *admission, int64_t now,
                      const struct rp_packet *packet, const struct rp_vip *vip)
{
    uint32_t ip = packet->key.src_ip;
    struct refusal *place = find_place(admission, ip);

    if (!RpLink_IsLimited(admission->link) || packet->syn_retransmits > 0 ||
        !vip || vip->target_ms == 0 ||
        RpLinkFlows_MeanSize(admission->flows, vip->address) <=
            RP_LINK_SHORT_BYTES) {
        return true;
    }
    int64_t target = vip->target_ms * RP_US_PER_MS;
    int64_t wait = RpLinkAdmission_Estimate(admission, now, vip);
    bool was_refused = place->ip == ip && now < place->until;
    uint32_t share = was_refused ? RP_LINK_LAST_SHARE_PERCENT
                                 : RP_LINK_SHARE_PERCENT;
    if (wait <= target * share / 100) {
        return true;
    }
    *place = (struct refusal){
        .ip = ip,
        .until = now + MAX(vip->timeout_ms, vip->target_ms) * RP_US_PER_MS};
    return false;
}
