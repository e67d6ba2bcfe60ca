#include "mustardrouter/Runtime/thread_name.h"

#include <pthread.h>

namespace mustardrouter
{

void nameThread(const char *name)
{
    pthread_setname_np(pthread_self(), name);
}

} // namespace mustardrouter
