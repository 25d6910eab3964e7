#include "src/process/resources.h"

#include <sys/resource.h>

namespace swiftloft::process {

Resources Resources::ofThisProcess()
{
    Resources resources;
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        resources.descriptors = limit.rlim_cur;
    return resources;
}

} // namespace swiftloft::process
