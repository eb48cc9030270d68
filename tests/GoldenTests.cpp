// The golden session: all messages between client, daemon, endpoint, peer and key-value service in a fixed sequence of
// requests, compared with the recording. `make golden` records it anew.
#include <fstream>
#include <sstream>

#include "Golden.h"
#include "Support.h"

using namespace rattanshunt;

Test(golden, session_matches_the_recording, .timeout = 60)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/../golden/session.txt");
    std::stringstream recorded;
    recorded << file.rdbuf();
    std::string text;
    tests::runOnLoop([&](net::Loop& loop) { text = lab::goldenSession(loop); });
    std::istringstream expected(recorded.str());
    std::istringstream actual(text);
    std::string expectedLine;
    std::string actualLine;
    for (int line = 1; std::getline(expected, expectedLine); ++line) {
        bool hasLine = static_cast<bool>(std::getline(actual, actualLine));
        cr_assert(hasLine && actualLine == expectedLine, "line %d: recorded \"%s\", now \"%s\"", line,
            expectedLine.c_str(), actualLine.c_str());
    }
    cr_assert(!std::getline(actual, actualLine), "more lines than recorded: %s", actualLine.c_str());
}
