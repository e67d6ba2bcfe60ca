# The demo keeps every promise with the sizes of Kováčik.
./build/mustardrouter demo --deployment kovacik --seconds 6
