/* Lists of addresses of control replicas; see rp_contacts.h. */
#include "rp_contacts.h"

static bool
list_contains(const struct rp_endpoints *list, struct rp_endpoint address)
{
    for (size_t i = 0; i < list->count; i++) {
        if (RpEndpoint_Equal(list->item[i], address)) {
            return true;
        }
    }
    return false;
}

/* Copies a list from the address at `start` on, without this process's own and
 * without repetitions. */
static void
copy_list(const struct rp_contacts *contacts, struct rp_endpoints *to,
          const struct rp_endpoints *from, size_t start)
{
    to->count = 0;
    for (size_t i = 0; i < from->count; i++) {
        struct rp_endpoint item = from->item[(start + i) % from->count];
        if (!RpEndpoint_Equal(item, contacts->self) &&
            !list_contains(to, item)) {
            to->item[to->count++] = item;
        }
    }
}

void
RpContacts_Init(struct rp_contacts *contacts, struct rp_endpoint self,
                const struct rp_endpoints *settings,
                RpContacts_Random random_below)
{
    *contacts = (struct rp_contacts){.self = self};
    RpContacts_SetSettings(contacts, settings);
    if (settings->count > 0) {
        contacts->next = random_below((uint32_t)settings->count);
    }
}

void
RpContacts_SetSettings(struct rp_contacts *contacts,
                       const struct rp_endpoints *settings)
{
    copy_list(contacts, &contacts->settings, settings, 0);
}

void
RpContacts_SetTold(struct rp_contacts *contacts,
                   const struct rp_endpoints *told)
{
    copy_list(contacts, &contacts->told, told, 0);
}

void
RpContacts_SetHints(struct rp_contacts *contacts,
                    const struct rp_endpoints *hints,
                    RpContacts_Random random_below)
{
    if (hints->count == 0) {
        return;
    }
    copy_list(contacts, &contacts->hints, hints,
              random_below((uint32_t)hints->count));
    contacts->next = contacts->told.count;
}

void
RpContacts_DropHints(struct rp_contacts *contacts)
{
    contacts->hints.count = 0;
}

bool
RpContacts_Next(struct rp_contacts *contacts, struct rp_endpoint *to)
{
    const struct rp_endpoints *const lists[] = {
        &contacts->told, &contacts->hints, &contacts->settings};
    size_t total = contacts->told.count + contacts->hints.count +
                   contacts->settings.count;

    if (total == 0) {
        return false;
    }
    size_t index = contacts->next % total;
    contacts->next = index + 1;
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        if (index < lists[i]->count) {
            *to = lists[i]->item[index];
            return true;
        }
        index -= lists[i]->count;
    }
    return false;
}

bool
RpContacts_Contains(const struct rp_contacts *contacts,
                    struct rp_endpoint address)
{
    return list_contains(&contacts->told, address) ||
           list_contains(&contacts->hints, address) ||
           list_contains(&contacts->settings, address);
}

void
RpContacts_FromMsg(const struct rp_msg_controls *controls,
                   struct rp_endpoints *list)
{
    list->count = 0;
    for (guint i = 0; i < controls->list->len && i < RP_ENDPOINTS_MAX; i++) {
        const struct rp_msg_control_address *row = &g_array_index(
            controls->list, struct rp_msg_control_address, i);
        list->item[list->count++] = (struct rp_endpoint){.ip = row->ip,
                                                         .port = row->port};
    }
}

void
RpContacts_ToMsg(const struct rp_endpoints *list, struct rp_msg *msg)
{
    *msg = (struct rp_msg){.type = RP_MSG_CONTROLS,
                           .controls = {.list = RpSchema_NewList(
                                            &rp_msg_control_address_schema)}};
    for (size_t i = 0; i < list->count; i++) {
        const struct rp_msg_control_address row = {.ip = list->item[i].ip,
                                                   .port = list->item[i].port};
        g_array_append_val(msg->controls.list, row);
    }
}
