#pragma once

namespace mustardrouter
{

/// Sets the name of the calling thread, as shown by debuggers and `top -H`; at most 15 characters.
void nameThread(const char *name);

} // namespace mustardrouter
