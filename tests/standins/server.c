/* Stand-in for a service's server: an HTTP server on libsoup.
 *
 *   POST /echo        returns "<service>\n" and the reversed body
 *   POST /echo?ms=N   the same after N milliseconds
 *   GET  /bytes/N     returns N bytes of a fixed pattern
 *
 * Logs one line for each POST that has an X-Reading header, so that a test can
 * count how often a reading arrived. */
#include <libsoup/soup.h>
#include <stdlib.h>

#include "standin.h"

#define MAX_BYTES (256u << 20)

struct server_settings {
    struct rp_endpoint listen;
    struct rp_name service;
};

static struct server_settings settings;

static const struct rp_setting settings_table[] = {
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct server_settings, listen),
     .value = "ADDR:PORT",
     .help = "address of the HTTP server"},
    {.flag = "service",
     .kind = RP_SETTING_NAME,
     .offset = offsetof(struct server_settings, service),
     .value = "NAME",
     .help = "the service's name, part of each answer"},
};

static void
answer_echo(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *request = soup_message_body_flatten(body);
    gsize len;
    const char *data = g_bytes_get_data(request, &len);
    GString *out = g_string_sized_new(len + RP_NAME_MAX + 1);

    g_string_append_printf(out, "%s\n", settings.service.data);
    for (gsize i = len; i-- > 0;) {
        g_string_append_c(out, data[i]);
    }
    gsize out_len = out->len;
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_server_message_set_response(message, "application/octet-stream",
                                     SOUP_MEMORY_TAKE,
                                     g_string_free(out, FALSE), out_len);
    g_bytes_unref(request);
}

static gboolean
on_delay_end(gpointer data)
{
    SoupServerMessage *message = data;

    answer_echo(message);
    soup_server_message_unpause(message);
    g_object_unref(message);
    return G_SOURCE_REMOVE;
}

static void
on_echo(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
    const char *delay_ms = query ? g_hash_table_lookup(query, "ms") : NULL;
    const char *reading = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "X-Reading");

    (void)server;
    (void)path;
    (void)data;
    if (reading) {
        printf("reading=%s service=%s\n", reading, settings.service.data);
        fflush(stdout);
    }
    if (delay_ms) {
        soup_server_message_pause(message);
        g_timeout_add((guint)strtoul(delay_ms, NULL, 10), on_delay_end,
                      g_object_ref(message));
        return;
    }
    answer_echo(message);
}

static void
on_bytes(SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
    unsigned long len = strtoul(path + sizeof "/bytes/" - 1, NULL, 10);

    (void)server;
    (void)query;
    (void)data;
    if (len == 0 || len > MAX_BYTES) {
        soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, NULL);
        return;
    }
    char *body = g_malloc(len);
    for (unsigned long i = 0; i < len; i++) {
        body[i] = (char)((i * 2654435761u) >> 13);
    }
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_server_message_set_response(message, "application/octet-stream",
                                     SOUP_MEMORY_COPY, body, len);
    g_free(body);
}

int
main(int argc, char **argv)
{
    char ip[RP_ENDPOINT_TEXT_MAX];
    GError *failure = NULL;

    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-server", argc, argv, &settings);
    SoupServer *server = soup_server_new(NULL, NULL);
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(settings.listen.ip, ip), settings.listen.port);
    soup_server_add_handler(server, "/echo", on_echo, NULL, NULL);
    soup_server_add_handler(server, "/bytes", on_bytes, NULL, NULL);
    if (!soup_server_listen(server, address, (SoupServerListenOptions)0,
                            &failure)) {
        fprintf(stderr, "standin-server: %s\n", failure->message);
        return 1;
    }
    standin_run();
    return 0;
}
