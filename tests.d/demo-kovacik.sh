# The demo must report no violation with the deployment sizes of Kováčik.
./build/mustardrouter demo --deployment kovacik --seconds 6
