// Names of the platform's wire protocol may occur only in platform/, the adapter, and nowhere in src/.
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Support.h"

Test(boundary, wire_names_occur_only_in_the_platform_adapter)
{
    namespace fs = std::filesystem;
    fs::path root = fs::path(SCENARIO_DIR) / ".." / "..";
    size_t files = 0;
    for (const fs::directory_entry& entry : fs::recursive_directory_iterator(root / "src")) {
        if (!entry.is_regular_file())
            continue;
        ++files;
        std::ifstream file(entry.path());
        std::stringstream content;
        content << file.rdbuf();
        // Request-Id and Deadline-Ms are not listed: the product's own interface has headers with these names.
        for (const char* name : { "Server-Seal", "Not-Executed", "Expect-Instance", "Token-Count", "Prompt-Prefix",
                 "Server-Load", "Request-Priority", "kv-range", "kv-txn", "kv-keep", "op/config", "servers/",
                 "routeType", "trafficSplit", "leaseHolder", "apiKeys", "rattanshunt/report", "rattanshunt/order",
                 "rattanshunt/readiness" })
            cr_assert(content.str().find(name) == std::string::npos, "%s contains %s", entry.path().c_str(), name);
    }
    cr_assert_gt(files, 100);
}
