/* The handlers of /metrics and /healthz. */
#include "rp_admin.h"

#include "rp_http.h"
#include "rp_process.h"

/* Bytes of a request's body; requests to the admin pages have none. */
#define ADMIN_BODY_MAX 4096

struct rp_admin {
    SoupServer *server;
    const char *role;
    const struct rp_counters *counters;
    const struct rp_admin_ops *ops;
    void *user;
};

static void
on_metrics(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    const struct rp_admin *admin = data;
    GString *out = g_string_new(NULL);

    (void)server;
    (void)path;
    (void)query;
    for (int i = 0; i < RP_COUNTER_COUNT; i++) {
        const char *name = RpCounter_Name((enum rp_counter)i);
        g_string_append_printf(
            out,
            "# HELP radishport_%s_total %s\n"
            "# TYPE radishport_%s_total counter\n"
            "radishport_%s_total{role=\"%s\"} %" G_GUINT64_FORMAT "\n",
            name, RpCounter_Help((enum rp_counter)i), name, name, admin->role,
            admin->counters->value[i]);
    }
    RpHistograms_Format(&admin->counters->histograms, admin->role, out);
    GString *gauges = g_string_new(NULL);
    admin->ops->gauges(admin->user, gauges);
    gchar **lines = g_strsplit(gauges->str, "\n", -1);
    for (gchar **line = lines; *line; line++) {
        gchar **words = g_strsplit(*line, " ", 2);
        if (words[0] && words[1]) {
            g_string_append_printf(out,
                                   "# TYPE radishport_%s gauge\n"
                                   "radishport_%s{role=\"%s\"} %s\n",
                                   words[0], words[0], admin->role, words[1]);
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
    g_string_free(gauges, TRUE);
    RpProcess_FormatGauges(admin->role, out);
    RpHttp_Answer(message, SOUP_STATUS_OK, "text/plain; version=0.0.4", out);
}

static void
on_health(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    const struct rp_admin *admin = data;
    GString *why = g_string_new(NULL);

    (void)server;
    (void)path;
    (void)query;
    bool healthy = admin->ops->healthy(admin->user, why);
    g_string_append_c(why, '\n');
    RpHttp_Answer(message,
                  healthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
                  "text/plain", why);
}

struct rp_admin *
RpAdmin_Open(struct rp_endpoint listen, const char *role,
             const struct rp_net_context *context,
             const struct rp_admin_ops *ops, void *user,
             struct rp_error *error)
{
    SoupServer *server = RpHttp_Serve(listen, ADMIN_BODY_MAX, context, error);

    if (!server) {
        return NULL;
    }
    struct rp_admin *admin = g_new0(struct rp_admin, 1);
    *admin = (struct rp_admin){.server = server,
                               .role = role,
                               .counters = context->counters,
                               .ops = ops,
                               .user = user};
    soup_server_add_handler(admin->server, "/metrics", on_metrics, admin,
                            NULL);
    soup_server_add_handler(admin->server, "/healthz", on_health, admin, NULL);
    return admin;
}

void
RpAdmin_Close(struct rp_admin *admin)
{
    if (admin) {
        g_object_unref(admin->server);
        g_free(admin);
    }
}
