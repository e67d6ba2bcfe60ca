# The demo must report no violation with the deployment sizes of Granite Notch.
./build/mustardrouter demo --deployment granite-notch --seconds 6
