/* Listening and answering with libsoup. */
#include "rp_http.h"

SoupServer *
RpHttp_Serve(struct rp_endpoint listen, struct rp_error *error)
{
    SoupServer *server = soup_server_new("server-header", "radishport", NULL);
    char text[RP_ENDPOINT_TEXT_MAX];
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(listen.ip, text), listen.port);
    GError *failure = NULL;
    gboolean is_listening = soup_server_listen(
        server, address, (SoupServerListenOptions)0, &failure);

    g_object_unref(address);
    if (is_listening) {
        return server;
    }
    RpError_Add(error, RP_ERR_IO, RpEndpoint_Format(listen, text),
                "cannot listen for HTTP: %s", failure->message);
    g_error_free(failure);
    g_object_unref(server);
    return NULL;
}

void
RpHttp_Answer(SoupServerMessage *message, guint status, const char *type,
              GString *body)
{
    gsize len = body->len;

    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE,
                                     g_string_free(body, FALSE), len);
}
