// Runs one case of the review: `review-cases CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
#include <cstdlib>
#include <cstring>
#include <iostream>

#include <unistd.h>

#include "Cases.h"

int main(int argc, char** argv)
{
    using namespace rattanshunt;
    if (argc != 3) {
        std::cerr << "usage: review-cases CASE RECORD\n";
        return review::cannotRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    bool hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    net::Loop loop;
    loop.run([&] {
        int code = review::runCase(loop, argv[1], argv[2], hasTrouble);
        std::cout.flush();
        _exit(code); // without waiting for the fibers of the stand-ins
    });
    return review::cannotRun;
}
