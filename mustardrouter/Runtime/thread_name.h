#pragma once

namespace mustardrouter
{

/// Names the calling thread as debuggers and `top -H` show it; at most 15 letters.
void nameThread(const char *name);

} // namespace mustardrouter
