# The demo keeps every promise with the sizes of Granite Notch.
./build/mustardrouter demo --deployment granite-notch --seconds 6
